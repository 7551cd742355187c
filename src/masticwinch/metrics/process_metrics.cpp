#include "masticwinch/metrics/process_metrics.hpp"

#include "masticwinch/metrics/metric_registry.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
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

std::uint64_t openDescriptors() {
  std::error_code ec;
  std::filesystem::directory_iterator listed("/proc/self/fd", ec);
  if (ec) {
    return 0;
  }
  return static_cast<std::uint64_t>(std::distance(begin(listed), end(listed)));
}

std::uint64_t descriptorLimit() {
  rlimit limit{};
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 0;
}

void registerProcessMetrics(MetricRegistry &registry) {
  registry.observedCounter({"process_cpu_seconds_total",
                            "Processor time of this process, user and system."},
                           [] { return readProcessUsage().ProcessorSeconds; });
  registry.observedGauge(
      {"process_resident_memory_bytes", "Resident memory of this process."},
      [] { return double(readProcessUsage().ResidentBytes); });
  registry.observedGauge(
      {"process_open_fds", "Descriptors that this process has open."},
      [] { return double(openDescriptors()); });
  registry.observedGauge(
      {"process_max_fds", "Descriptors that this process may have open."},
      [] { return double(descriptorLimit()); });
}

} // namespace masticwinch
