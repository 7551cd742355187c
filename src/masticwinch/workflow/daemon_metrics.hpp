#pragma once

namespace masticwinch {
class EventLog;
class MetricRegistry;
} // namespace masticwinch

namespace masticwinch::peers {
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::workflow {

/// Registers the metrics that control VMs and entry VMs have alike: of the
/// process, its messages and its event log.
void registerDaemonMetrics(MetricRegistry &registry,
                           const peers::Mailbox &mailbox,
                           const EventLog &events);

} // namespace masticwinch::workflow
