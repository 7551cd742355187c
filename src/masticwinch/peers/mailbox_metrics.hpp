#pragma once

namespace masticwinch {
class MetricRegistry;
}

namespace masticwinch::peers {

class Mailbox;

/// Registers metrics of a mailbox's traffic: messages and their encoded bytes
/// without transport overhead. The mailbox must outlive all use of the
/// registry.
void registerMailboxMetrics(MetricRegistry &registry, const Mailbox &mailbox);

} // namespace masticwinch::peers
