#include "masticwinch/coordination/workflow/outcome_totals.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <string>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

TEST_CASE("Outcomes are summed by queue and size", "[workflow]") {
  OutcomeTotals totals;
  totals.add({"sheets", SizeClass::LargestTenth, OutcomeKind::Late});
  totals.add({"sheets", SizeClass::LargestTenth, OutcomeKind::Late});
  totals.add({"sheets", SizeClass::Rest, OutcomeKind::OnTime});
  const auto late = static_cast<std::size_t>(OutcomeKind::Late);
  CHECK(totals.counts().size() == 2);
  CHECK(totals.counts().at({"sheets", SizeClass::LargestTenth})[late] == 2);
  CHECK(totals.counts().at({"sheets", SizeClass::Rest})[late] == 0);
}

TEST_CASE("Outcomes are summed for a bounded number of queues", "[workflow]") {
  OutcomeTotals totals;
  for (int i = 0; i < 1000; ++i) {
    totals.add({std::to_string(i), SizeClass::Rest, OutcomeKind::Late});
  }
  CHECK(totals.counts().size() <= 3 * OutcomeTotals::MaxQueues);
}

TEST_CASE("A leader counts the outcome of a workflow once", "[workflow]") {
  LedCell cell;
  protocol::RunnerInfo info = runnerOf("i-0");
  cell.heartbeat(info, 1, 0);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll({});
  cell.submit("000000000000000a");
  cell.cancel("000000000000000a");
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Outcomes.size() == 1);
  CHECK(cell.Outcomes.front().Kind == OutcomeKind::Cancelled);
  CHECK(cell.Outcomes.front().Queue ==
        cell.State.find("000000000000000a")->Spec.queue());
}
