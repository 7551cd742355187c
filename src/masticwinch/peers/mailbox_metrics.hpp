#pragma once

namespace masticwinch {
class MetricRegistry;
}

namespace masticwinch::peers {

class Mailbox;

/// Registers the traffic of a mailbox, which must outlive the registry's use:
/// encoded bytes and messages, without the overhead of the transport.
void registerMailboxMetrics(MetricRegistry &registry, const Mailbox &mailbox);

} // namespace masticwinch::peers
