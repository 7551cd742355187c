#pragma once

#include "masticwinch/metrics/counter.hpp"
#include "masticwinch/metrics/gauge.hpp"
#include "masticwinch/metrics/histogram.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace masticwinch {

/// One label of a metric, such as class="urgent".
struct MetricLabel {
  std::string Name;
  std::string Value;

  auto operator<=>(const MetricLabel &) const = default;
};

/// What a metric is called and what it means. By convention names begin with
/// `masticwinch_`, end with their unit, and those of counters with `_total`.
struct MetricInfo {
  std::string Name;
  /// One sentence for people.
  std::string Help;
  std::vector<MetricLabel> Labels = {};
};

/// All metrics of a process. A metric is made once, at start, and then used
/// through its reference, which stays valid as long as the registry; asking
/// again for the same name and labels gives the same metric. Asking for a known
/// name with another type throws `std::logic_error`. Thread-safe.
class MetricRegistry {
public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry &) = delete;
  MetricRegistry &operator=(const MetricRegistry &) = delete;

  Counter &counter(const MetricInfo &info);
  Gauge &gauge(const MetricInfo &info);
  Histogram &histogram(const MetricInfo &info, HistogramRange range = {});

  /// A counter or gauge whose value is read when the metrics are exported. The
  /// function is called on the exporting thread.
  void observedCounter(const MetricInfo &info, std::function<double()> read);
  void observedGauge(const MetricInfo &info, std::function<double()> read);

  /// All metrics in the text exposition format, version 0.0.4, sorted by name.
  std::string text() const;

private:
  struct Family;
  Family &family(const MetricInfo &info, const std::string &type);

  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<Family>> Families;
};

} // namespace masticwinch
