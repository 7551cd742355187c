#pragma once

#include <cstdint>

namespace masticwinch {

class Counter;
class MetricRegistry;

/// What this process has used so far.
struct ProcessUsage {
  /// Processor time of all threads, user and system, in seconds.
  double ProcessorSeconds = 0;
  std::uint64_t ResidentBytes = 0;
};

/// Asks the operating system what this process has used.
ProcessUsage readProcessUsage();

/// Registers processor time and resident memory of this process.
void registerProcessMetrics(MetricRegistry &registry);

/// Traffic between the system's own processes, in bytes of encoded messages
/// without the overhead of the transport.
struct MessageMetrics {
  explicit MessageMetrics(MetricRegistry &registry);

  Counter &SentBytes;
  Counter &ReceivedBytes;
  Counter &SentMessages;
  Counter &ReceivedMessages;
  /// Messages that were given up before they were sent.
  Counter &DroppedMessages;
};

} // namespace masticwinch
