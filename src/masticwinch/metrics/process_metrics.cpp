#include "masticwinch/metrics/process_metrics.hpp"

#include "masticwinch/metrics/metric_registry.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace masticwinch {

namespace {

double seconds(const timeval &time) {
  constexpr double MicrosecondsPerSecond = 1e6;
  return double(time.tv_sec) + double(time.tv_usec) / MicrosecondsPerSecond;
}

} // namespace

ProcessUsage readProcessUsage() {
  ProcessUsage usage;
  rusage times{};
  if (getrusage(RUSAGE_SELF, &times) == 0) {
    usage.ProcessorSeconds = seconds(times.ru_utime) + seconds(times.ru_stime);
  }
  std::uint64_t totalPages = 0;
  std::uint64_t residentPages = 0;
  std::ifstream statm("/proc/self/statm");
  if (statm >> totalPages >> residentPages) {
    const auto pageBytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    usage.ResidentBytes = residentPages * pageBytes;
  }
  return usage;
}

void registerProcessMetrics(MetricRegistry &registry) {
  registry.observedCounter({"process_cpu_seconds_total",
                            "Processor time of this process, user and system."},
                           [] { return readProcessUsage().ProcessorSeconds; });
  registry.observedGauge(
      {"process_resident_memory_bytes", "Resident memory of this process."},
      [] { return double(readProcessUsage().ResidentBytes); });
}

} // namespace masticwinch
