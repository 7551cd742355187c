#include "masticwinch/workflow/daemon_metrics.hpp"

#include "masticwinch/events/event_log.hpp"
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

} // namespace masticwinch::workflow
