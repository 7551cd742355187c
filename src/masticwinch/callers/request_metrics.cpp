#include "masticwinch/callers/request_metrics.hpp"

#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/protocol/profile.pb.h"

namespace masticwinch::callers {

namespace {

double seconds(SteadyTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

template <NamedEnum Enum> std::size_t indexOf(Enum value) {
  return static_cast<std::size_t>(value);
}

} // namespace

MetricClass metricClassOf(const protocol::Profile *profile) {
  if (profile == nullptr) {
    return MetricClass::Unknown;
  }
  return profile->spec().requests().work_class() == protocol::URGENT
             ? MetricClass::Urgent
             : MetricClass::Patient;
}

RequestMetrics::RequestMetrics(MetricRegistry &registry) {
  for (const auto &kind : EnumNames<MetricClass>::Table) {
    const MetricLabel label{"class", std::string(kind.Name)};
    Wait[indexOf(kind.Value)] = &registry.histogram(
        {"masticwinch_request_wait_seconds",
         "Time from a request's arrival to its first dispatch.",
         {label}});
    Total[indexOf(kind.Value)] =
        &registry.histogram({"masticwinch_request_seconds",
                             "Time from a request's arrival to its reply.",
                             {label}});
    for (const auto &outcome : EnumNames<RequestOutcome>::Table) {
      Ended[indexOf(kind.Value)][indexOf(outcome.Value)] =
          &registry.counter({"masticwinch_requests_total",
                             "Requests that were replied to.",
                             {label, {"outcome", std::string(outcome.Name)}}});
    }
  }
  Retries = &registry.counter({"masticwinch_request_retries_total",
                               "Attempts after a request's first."});
}

void RequestMetrics::dispatched(MetricClass kind, SteadyTime::duration waited) {
  Wait[indexOf(kind)]->record(seconds(waited));
}

void RequestMetrics::ended(MetricClass kind, RequestOutcome outcome,
                           unsigned attempts, SteadyTime::duration took) {
  Ended[indexOf(kind)][indexOf(outcome)]->add();
  Total[indexOf(kind)]->record(seconds(took));
  Retries->add(attempts > 1 ? attempts - 1 : 0);
}

} // namespace masticwinch::callers
