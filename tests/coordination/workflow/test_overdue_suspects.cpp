#include <catch2/catch.hpp>

#include "tests/coordination/workflow/crashing_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
const TaskKey First{{Job, 0, 0}, 0};

/// When an overdue step of one second starts at the latest: it has waited for
/// `MinWait`, and runners are drained for it within `MaxDrainTime`.
const Milliseconds LatestStart =
    OverdueShareOptions().MinWait + WorkflowLeaderOptions().MaxDrainTime;

/// Much longer than the runs take, so that what is let in stays on time.
protocol::StepSpec overestimatedStep() {
  protocol::StepSpec step = stepOf(4);
  step.set_estimate_ms(5000);
  return step;
}

/// Keeps the cell full of work that is on time for as long, or until the
/// condition holds; returns whether it does.
template <class Condition>
bool keepFull(CrashingCell &cell, Milliseconds time,
              const Condition &condition) {
  static std::uint64_t next = 1;
  const SteadyTime end = cell.Now.Now + time;
  while (cell.Now.Now < end && !condition()) {
    cell.submit(std::to_string(1000000000000000 + next++),
                {overestimatedStep()});
    cell.run(Milliseconds(20));
  }
  return condition();
}

} // namespace

// A run that its runner never confirmed made its step a suspect when the runner
// crashed, and suspects had no part of the share: they waited until the load
// ended.
TEST_CASE("A step that is suspected of a crash starts in time on a full cell",
          "[workflow]") {
  CrashTerms terms;
  terms.KeepsId = GENERATE(false, true);
  const std::size_t runners = GENERATE(3, 10);
  CAPTURE(terms.KeepsId, runners);
  CrashingCell cell(runners, terms);
  for (std::size_t i = 0; i < runners; ++i) {
    cell.setProcessors("host-" + std::to_string(i), 4000);
  }
  cell.run(Milliseconds(1000));
  cell.RunTime = Milliseconds(1000);
  cell.submit(Job);
  REQUIRE(cell.runUntil([&] { return !cell.hostOf(First).empty(); },
                        Milliseconds(1000)));
  keepFull(cell, Milliseconds(100), [] { return false; });
  cell.crash(cell.hostOf(First), Milliseconds(1500));
  const auto ended = [&] { return cell.phase(Job) == Phase::Completed; };
  CHECK(keepFull(cell, LatestStart + cell.RunTime, ended));
  CHECK(cell.starts(First) == 2);
}
