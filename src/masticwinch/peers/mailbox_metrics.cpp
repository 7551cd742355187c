#include "masticwinch/peers/mailbox_metrics.hpp"

#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/peers/mailbox.hpp"

namespace masticwinch::peers {

namespace {

void observe(MetricRegistry &registry, const Mailbox &mailbox,
             const MetricInfo &info, std::uint64_t MailboxTraffic::*count) {
  registry.observedCounter(
      info, [&mailbox, count] { return double(mailbox.traffic().*count); });
}

} // namespace

void registerMailboxMetrics(MetricRegistry &registry, const Mailbox &mailbox) {
  observe(registry, mailbox,
          {"masticwinch_messages_sent_bytes_total",
           "Bytes of messages sent to own processes."},
          &MailboxTraffic::SentBytes);
  observe(registry, mailbox,
          {"masticwinch_messages_received_bytes_total",
           "Bytes of messages received from own processes."},
          &MailboxTraffic::ReceivedBytes);
  observe(
      registry, mailbox,
      {"masticwinch_messages_sent_total", "Messages sent to own processes."},
      &MailboxTraffic::SentMessages);
  observe(registry, mailbox,
          {"masticwinch_messages_received_total",
           "Messages received from own processes."},
          &MailboxTraffic::ReceivedMessages);
  observe(registry, mailbox,
          {"masticwinch_messages_dropped_total",
           "Messages to own processes given up before they were sent."},
          &MailboxTraffic::DroppedMessages);
  observe(
      registry, mailbox,
      {"masticwinch_messages_outdated_total",
       "Messages dropped, as a later connection of their sender was there."},
      &MailboxTraffic::OutdatedMessages);
  observe(
      registry, mailbox,
      {"masticwinch_messages_closed_for_memory_total",
       "Connections of senders that were closed, as unfinished messages held "
       "too many bytes."},
      &MailboxTraffic::ClosedForMemory);
  registry.observedGauge(
      {"masticwinch_messages_queued_bytes",
       "Bytes of messages to own processes that wait to be sent."},
      [&mailbox] { return double(mailbox.traffic().QueuedBytes); });
}

} // namespace masticwinch::peers
