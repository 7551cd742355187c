#include "masticwinch/workflow/outcome_counters.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace masticwinch;
using namespace masticwinch::workflow;

TEST_CASE("Outcomes are counted by queue, size and kind", "[workflow]") {
  MetricRegistry metrics;
  OutcomeCounters outcomes(metrics);
  outcomes.add({"sheets", SizeClass::LargestTenth, OutcomeKind::Late});
  outcomes.add({"sheets", SizeClass::LargestTenth, OutcomeKind::Late});
  CHECK(metrics.text().find("masticwinch_workflow_outcomes_total{queue="
                            "\"sheets\",size=\"largest_tenth\",outcome="
                            "\"late\"} 2") != std::string::npos);
}

TEST_CASE("Outcomes are counted for a bounded number of queues", "[workflow]") {
  MetricRegistry metrics;
  OutcomeCounters outcomes(metrics);
  for (std::size_t i = 0; i <= OutcomeCounters::MaxQueues + 1; ++i) {
    outcomes.add({"q" + std::to_string(i), SizeClass::Rest, OutcomeKind::Late});
  }
  CHECK(metrics.text().find("queue=\"other\",size=\"rest\",outcome=\"late\"} "
                            "2") != std::string::npos);
}

TEST_CASE("The outcome of a workflow follows from its phase and its time",
          "[workflow]") {
  const Milliseconds objective(1000);
  const auto completedIn = [&](int ms) {
    return outcomeOf(Phase::Completed, Milliseconds(ms), objective);
  };
  CHECK(completedIn(1000) == OutcomeKind::OnTime);
  CHECK(completedIn(1001) == OutcomeKind::Late);
  CHECK(completedIn(3001) == OutcomeKind::Missed);
  CHECK(outcomeOf(Phase::Failed, Milliseconds(1), objective) ==
        OutcomeKind::Failed);
  CHECK(outcomeOf(Phase::Cancelled, Milliseconds(1), objective) ==
        OutcomeKind::Cancelled);
}
