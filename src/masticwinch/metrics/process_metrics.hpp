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

/// Descriptors that this process has open; 0 if the system doesn't tell.
std::uint64_t openDescriptors();

/// Descriptors that this process may have open; 0 if the system doesn't tell.
std::uint64_t descriptorLimit();

/// Registers processor time, resident memory and descriptors of this process.
void registerProcessMetrics(MetricRegistry &registry);

} // namespace masticwinch
