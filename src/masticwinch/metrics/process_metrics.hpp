#pragma once

#include <cstdint>

namespace masticwinch {

class MetricRegistry;

/// Resource usage of this process.
struct ProcessUsage {
  /// Processor time of all threads, user and system, in seconds.
  double ProcessorSeconds = 0;
  std::uint64_t ResidentBytes = 0;
};

/// Reads the resource usage of this process from the operating system.
ProcessUsage readProcessUsage();

/// Number of open file descriptors of this process; 0 if it can't be read.
std::uint64_t openDescriptors();

/// Maximum number of open file descriptors of this process; 0 if it can't be
/// read.
std::uint64_t descriptorLimit();

/// Registers metrics of processor time, resident memory and file descriptors of
/// this process.
void registerProcessMetrics(MetricRegistry &registry);

} // namespace masticwinch
