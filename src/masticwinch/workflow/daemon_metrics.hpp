#pragma once

namespace masticwinch {
class EventLog;
class HttpClient;
class HttpServer;
class MetricRegistry;
} // namespace masticwinch

namespace masticwinch::peers {
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::workflow {

/// Registers the metrics common to control VMs and entry VMs: those of the
/// process, the mailbox and the event log.
void registerDaemonMetrics(MetricRegistry &registry,
                           const peers::Mailbox &mailbox,
                           const EventLog &events);

/// Registers the numbers of connections of the server for callers or operators,
/// which outlives the registry's use.
void registerConnectionMetrics(MetricRegistry &registry,
                               const HttpServer &server);

/// Registers the numbers of connections and waiting calls of a client, which
/// outlives the registry's use.
void registerClientMetrics(MetricRegistry &registry, const HttpClient &client);

} // namespace masticwinch::workflow
