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

/// A label of a metric, such as class="urgent".
struct MetricLabel {
  std::string Name;
  std::string Value;

  auto operator<=>(const MetricLabel &) const = default;
};

/// Name, description and labels of a metric. By convention names start with
/// `masticwinch_` and end with their unit, those of counters with `_total`.
struct MetricInfo {
  std::string Name;
  /// Description of the metric, one sentence.
  std::string Help;
  std::vector<MetricLabel> Labels = {};
};

/// All metrics of a process. A metric is created at start-up and then used
/// through the returned reference, which is valid as long as the registry.
/// Requesting the same name and labels again returns the same metric;
/// requesting an existing name with another type throws `std::logic_error`.
/// Thread-safe.
class MetricRegistry {
public:
  MetricRegistry();
  ~MetricRegistry();
  MetricRegistry(const MetricRegistry &) = delete;
  MetricRegistry &operator=(const MetricRegistry &) = delete;

  Counter &counter(const MetricInfo &info);
  Gauge &gauge(const MetricInfo &info);
  Histogram &histogram(const MetricInfo &info, HistogramRange range = {});

  /// Registers a counter or gauge whose value is read when the metrics are
  /// exported. The function is called on the exporting thread.
  void observedCounter(const MetricInfo &info, std::function<double()> read);
  void observedGauge(const MetricInfo &info, std::function<double()> read);

  /// Exports all metrics in the Prometheus text format, version 0.0.4, sorted
  /// by name.
  std::string text() const;

private:
  struct Family;
  Family &family(const MetricInfo &info, const std::string &type);

  mutable std::mutex Mutex;
  std::map<std::string, std::unique_ptr<Family>> Families;
};

} // namespace masticwinch
