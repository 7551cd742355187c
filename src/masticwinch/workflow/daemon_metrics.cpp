#include "masticwinch/workflow/daemon_metrics.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/metrics/process_metrics.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/peers/mailbox_metrics.hpp"

namespace masticwinch::workflow {

void registerDaemonMetrics(MetricRegistry &registry,
                           const peers::Mailbox &mailbox,
                           const EventLog &events) {
  registerProcessMetrics(registry);
  peers::registerMailboxMetrics(registry, mailbox);
  registry.observedCounter(
      {"masticwinch_log_lines_dropped_total",
       "Event lines that were dropped to bound their volume."},
      [&events] { return double(events.droppedLines()); });
}

void registerConnectionMetrics(MetricRegistry &registry,
                               const HttpServer &server) {
  registry.observedGauge(
      {"masticwinch_connections_open", "Open connections of callers."},
      [&server] { return double(server.connections().Open); });
  registry.observedGauge(
      {"masticwinch_connections_limit",
       "Connections at which a new one needs another's place or is refused."},
      [&server] { return double(server.connections().Limit); });
  registry.observedCounter(
      {"masticwinch_connections_admitted_total", "Connections admitted."},
      [&server] { return double(server.connections().Admitted); });
  registry.observedCounter(
      {"masticwinch_connections_refused_total",
       "Connections refused since all others had a request in progress."},
      [&server] { return double(server.connections().Refused); });
  const auto closed = [&](const std::string &reason,
                          std::uint64_t HttpConnectionCounts::*count) {
    registry.observedCounter(
        {"masticwinch_connections_closed_total",
         "Connections without a request in progress that were closed.",
         {{"reason", reason}}},
        [&server, count] { return double(server.connections().*count); });
  };
  closed("room", &HttpConnectionCounts::ClosedForRoom);
  closed("header_timeout", &HttpConnectionCounts::HeaderTimeouts);
  closed("body_timeout", &HttpConnectionCounts::BodyTimeouts);
  closed("idle_timeout", &HttpConnectionCounts::IdleTimeouts);
  closed("memory", &HttpConnectionCounts::ClosedForMemory);
  const auto held = [&](const std::string &content,
                        std::size_t HttpConnectionCounts::*bytes) {
    registry.observedGauge(
        {"masticwinch_connections_held_bytes",
         "Bytes that requests or unread responses hold, as they are stored.",
         {{"content", content}}},
        [&server, bytes] { return double(server.connections().*bytes); });
  };
  held("requests", &HttpConnectionCounts::RequestBytes);
  held("responses", &HttpConnectionCounts::ResponseBytes);
  registry.observedGauge(
      {"masticwinch_connections_held_bytes_limit",
       "Bytes of either beyond which a connection gives way."},
      [&server] { return double(server.connections().MaxHeldBytes); });
}

void registerClientMetrics(MetricRegistry &registry, const HttpClient &client) {
  registry.observedGauge(
      {"masticwinch_client_connections_open",
       "Open connections to runners and other services."},
      [&client] { return double(client.openConnections()); });
  registry.observedGauge(
      {"masticwinch_client_calls_waiting",
       "Calls that wait until others to the same host have ended."},
      [&client] { return double(client.waitingCalls()); });
  registry.observedCounter(
      {"masticwinch_client_calls_without_connection_total",
       "Calls that weren't sent, as others to the same host took too long."},
      [&client] { return double(client.callsWithoutConnection()); });
}

} // namespace masticwinch::workflow
