#include "masticwinch/metrics/metric_registry.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace masticwinch {

namespace {

const std::string CounterType = "counter";
const std::string GaugeType = "gauge";
const std::string HistogramType = "histogram";

using ReadFunction = std::function<double()>;
using Metric =
    std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                 std::unique_ptr<Histogram>, std::unique_ptr<ReadFunction>>;

std::string escape(const std::string &text, bool quoted) {
  std::string out;
  for (char c : text) {
    if (c == '\\' || (quoted && c == '"')) {
      out += '\\';
    }
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

std::string number(double value) {
  if (value == std::numeric_limits<double>::infinity()) {
    return "+Inf";
  }
  return fmt::format("{:.6g}", value);
}

std::string labelText(const std::vector<MetricLabel> &labels) {
  std::string text;
  for (const MetricLabel &it : labels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", it.Name,
                        escape(it.Value, true));
  }
  return text.empty() ? text : "{" + text + "}";
}

std::string histogramText(const std::string &name,
                          const std::vector<MetricLabel> &labels,
                          const Histogram &histogram) {
  std::string text;
  std::uint64_t total = 0;
  for (const HistogramBucket &it : histogram.buckets()) {
    std::vector<MetricLabel> bounded = labels;
    bounded.push_back({"le", number(it.UpperBound)});
    total = it.CumulativeCount;
    text += fmt::format("{}_bucket{} {}\n", name, labelText(bounded), total);
  }
  const std::string suffix = labelText(labels);
  text += fmt::format("{}_sum{} {}\n", name, suffix, number(histogram.sum()));
  text += fmt::format("{}_count{} {}\n", name, suffix, total);
  return text;
}

struct MetricText {
  const std::string &Name;
  const std::vector<MetricLabel> &Labels;

  std::string operator()(const std::unique_ptr<Counter> &it) const {
    return fmt::format("{}{} {}\n", Name, labelText(Labels), it->value());
  }
  std::string operator()(const std::unique_ptr<Gauge> &it) const {
    return line(it->value());
  }
  std::string operator()(const std::unique_ptr<ReadFunction> &it) const {
    return line((*it)());
  }
  std::string operator()(const std::unique_ptr<Histogram> &it) const {
    return histogramText(Name, Labels, *it);
  }
  std::string line(double value) const {
    return fmt::format("{}{} {}\n", Name, labelText(Labels),
                       fmt::format("{:.12g}", value));
  }
};

} // namespace

struct MetricRegistry::Family {
  /// The metric of these labels, created on first use.
  template <class Kind, class... Arguments>
  Kind &obtain(const MetricInfo &info, Arguments &&...arguments) {
    auto found = Metrics.find(info.Labels);
    if (found == Metrics.end()) {
      Metric created =
          std::make_unique<Kind>(std::forward<Arguments>(arguments)...);
      found = Metrics.emplace(info.Labels, std::move(created)).first;
    }
    auto *metric = std::get_if<std::unique_ptr<Kind>>(&found->second);
    if (metric == nullptr) {
      throw std::logic_error("metric " + info.Name + " has another type");
    }
    return **metric;
  }

  std::string Help;
  std::string Type;
  std::map<std::vector<MetricLabel>, Metric> Metrics;
};

MetricRegistry::MetricRegistry() = default;
MetricRegistry::~MetricRegistry() = default;

MetricRegistry::Family &MetricRegistry::family(const MetricInfo &info,
                                               const std::string &type) {
  std::unique_ptr<Family> &it = Families[info.Name];
  if (!it) {
    it = std::make_unique<Family>();
    it->Help = info.Help;
    it->Type = type;
  }
  if (it->Type != type) {
    throw std::logic_error("metric " + info.Name + " has another type");
  }
  return *it;
}

Counter &MetricRegistry::counter(const MetricInfo &info) {
  std::lock_guard lock(Mutex);
  return family(info, CounterType).obtain<Counter>(info);
}

Gauge &MetricRegistry::gauge(const MetricInfo &info) {
  std::lock_guard lock(Mutex);
  return family(info, GaugeType).obtain<Gauge>(info);
}

Histogram &MetricRegistry::histogram(const MetricInfo &info,
                                     HistogramRange range) {
  std::lock_guard lock(Mutex);
  return family(info, HistogramType).obtain<Histogram>(info, range);
}

void MetricRegistry::observedCounter(const MetricInfo &info,
                                     ReadFunction read) {
  std::lock_guard lock(Mutex);
  family(info, CounterType).obtain<ReadFunction>(info) = std::move(read);
}

void MetricRegistry::observedGauge(const MetricInfo &info, ReadFunction read) {
  std::lock_guard lock(Mutex);
  family(info, GaugeType).obtain<ReadFunction>(info) = std::move(read);
}

std::string MetricRegistry::text() const {
  std::lock_guard lock(Mutex);
  std::string text;
  for (const auto &[name, family] : Families) {
    text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name,
                        escape(family->Help, false), name, family->Type);
    for (const auto &[labels, metric] : family->Metrics) {
      text += std::visit(MetricText{name, labels}, metric);
    }
  }
  return text;
}

} // namespace masticwinch
