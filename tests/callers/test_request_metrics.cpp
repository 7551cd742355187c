#include "masticwinch/callers/request_metrics.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/protocol/profile.pb.h"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::callers;

TEST_CASE("Requests are counted by class and outcome", "[callers][metrics]") {
  MetricRegistry registry;
  RequestMetrics metrics(registry);
  metrics.dispatched(MetricClass::Urgent, Milliseconds(20));
  metrics.ended(MetricClass::Urgent, RequestOutcome::Answered, 3,
                Milliseconds(50));
  metrics.ended(MetricClass::Patient, RequestOutcome::NotRun, 0,
                Milliseconds(5));
  const std::string text = registry.text();
  for (const char *line :
       {"masticwinch_requests_total{class=\"urgent\",outcome=\"answered\"} 1\n",
        "masticwinch_requests_total{class=\"patient\",outcome=\"not_run\"} 1\n",
        "masticwinch_requests_total{class=\"urgent\",outcome=\"unknown\"} 0\n",
        "masticwinch_request_retries_total 2\n",
        "masticwinch_request_wait_seconds_sum{class=\"urgent\"} 0.02\n",
        "masticwinch_request_wait_seconds_count{class=\"patient\"} 0\n",
        "masticwinch_request_seconds_sum{class=\"urgent\"} 0.05\n"}) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("A profile without a work class is counted as patient",
          "[callers][metrics]") {
  protocol::Profile profile;
  CHECK(metricClassOf(nullptr) == MetricClass::Unknown);
  CHECK(metricClassOf(&profile) == MetricClass::Patient);
  profile.mutable_spec()->mutable_requests()->set_work_class(protocol::URGENT);
  CHECK(metricClassOf(&profile) == MetricClass::Urgent);
}
