#pragma once

#include <cstdint>

namespace masticwinch {

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

} // namespace masticwinch
