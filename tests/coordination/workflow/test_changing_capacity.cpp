#include <catch2/catch.hpp>

#include "tests/coordination/workflow/crashing_cell.hpp"
#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const RunKey Run{{{"w", 0, 0}, 0}, 1};
const SteadyTime Now{std::chrono::seconds(100)};
const ResourceAmounts Cores{8000, 1024, 0};

protocol::RunnerInfo runnerWith(std::uint32_t milliProcessors) {
  protocol::RunnerInfo info = runnerOf("r");
  info.mutable_capacity()->set_milli_processors(milliProcessors);
  return info;
}

TrackedRun trackedRun() {
  TrackedRun run;
  run.Needs = Cores;
  return run;
}

/// A registry with an adopted runner on which a run is reserved.
struct Fixture {
  RunnerRegistry Registry{{}, [](const StepKey &) { return Cores; }};

  Fixture() {
    Registry.add(runnerWith(32'000), Now);
    Registry.tick(Now);
    PollAnswer lists;
    lists.Answer = OrderAnswer::Done;
    lists.ClockMs = 5'000'000;
    Registry.pollAnswered(Registry.takeEffects().Polls.at(0), lists, Now);
    Registry.reserve("r", Run, trackedRun(), Now);
  }
};

} // namespace

TEST_CASE("A run is not started on a runner that has shrunk below what it "
          "holds",
          "[workflow]") {
  Fixture fixture;
  fixture.Registry.add(runnerWith(4000), Now);
  fixture.Registry.start("r", Run, Now);
  const RunnerRegistryEffects effects = fixture.Registry.takeEffects();
  CHECK(effects.Starts.empty());
  REQUIRE(effects.Ends.size() == 1);
  CHECK(effects.Ends[0].End.how() == protocol::RUN_LOST);
  CHECK(fixture.Registry.find("r")->Free.MilliProcessors == 4000);
}

TEST_CASE("A start without an answer is not sent again to a runner that has "
          "shrunk below what it holds",
          "[workflow]") {
  Fixture fixture;
  fixture.Registry.start("r", Run, Now);
  const StartOrder order = fixture.Registry.takeEffects().Starts.at(0);
  fixture.Registry.add(runnerWith(4000), Now);
  fixture.Registry.startAnswered(order, OrderAnswer::Silent, Now);
  CHECK(fixture.Registry.takeEffects().Starts.empty());
  CHECK(fixture.Registry.find("r")->Runs.at(Run).Stage == RunStage::Stopping);
}

TEST_CASE("A shrunk capacity counts before it is stored", "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerWith(32'000), 1, 5'000'000);
  cell.Leader.heartbeat(
      runnerWith(4000), 2, 5'000'100, [] {}, cell.Now);
  CHECK(cell.Leader.runners().find("r")->Free.MilliProcessors == 4000);
}

TEST_CASE("A capacity that was stored late does not replace a newer one",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerWith(32'000), 1, 5'000'000);
  cell.Leader.heartbeat(
      runnerWith(16'000), 2, 5'000'100, [] {}, cell.Now);
  const WorkflowEffects first = cell.Leader.takeEffects(cell.Now);
  cell.Leader.heartbeat(
      runnerWith(4000), 3, 5'000'200, [] {}, cell.Now);
  for (const ProposedBatch &it : first.Batches) {
    cell.State.apply(it.Record);
    cell.Leader.stored(it, cell.Now);
  }
  CHECK(cell.Leader.runners().find("r")->Free.MilliProcessors == 4000);
}

TEST_CASE("A late heartbeat of a runner that is still being stored doesn't "
          "replace a newer one",
          "[workflow]") {
  LedCell cell;
  cell.Leader.heartbeat(
      runnerWith(4000), 3, 5'000'000, [] {}, cell.Now);
  cell.Leader.heartbeat(
      runnerWith(32'000), 2, 4'999'900, [] {}, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.Leader.runners().find("r")->Free.MilliProcessors == 4000);
}

TEST_CASE("No start brings a runner over a capacity that shrinks and grows",
          "[workflow]") {
  constexpr int Jobs = 200;
  CrashingCell cell(3);
  protocol::StepSpec step = stepOf(2);
  step.mutable_needs()->set_milli_processors(7000);
  protocol::StepSpec gang = stepOf(4, true);
  gang.mutable_needs()->set_milli_processors(7000);
  for (int i = 0; i < Jobs; ++i) {
    const std::uint32_t processors[] = {32'000, 0, 15'000, 6000, 32'000};
    cell.setProcessors("host-" + std::to_string(i % 3), processors[i % 5]);
    cell.submit("job-" + std::to_string(i), {i % 4 == 0 ? gang : step});
    cell.run(Milliseconds(100));
  }
  for (int i = 0; i < 3; ++i) {
    cell.setProcessors("host-" + std::to_string(i), 32'000);
  }
  CHECK(cell.OverCapacity == 0);
  cell.run(Milliseconds(30'000));
  for (const auto &[id, workflow] : cell.State.workflows()) {
    CHECK(workflow.CurrentPhase == Phase::Completed);
  }
}
