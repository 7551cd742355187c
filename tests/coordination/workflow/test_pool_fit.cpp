#include "masticwinch/coordination/workflow/pool_fit.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <string>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

/// Of 32 cores, so each runner has room for this many tasks of one core.
constexpr std::uint32_t PlacesPerRunner = 32;

RunnerRegistry registryWith(int runners) {
  RunnerRegistry registry({},
                          [](const StepKey &) { return ResourceAmounts(); });
  for (int i = 0; i < runners; ++i) {
    registry.add(runnerOf("i-" + std::to_string(i)), SteadyTime{});
  }
  return registry;
}

PoolFit fitOn(int runners, const protocol::StepSpec &step) {
  return fitOf(specOf("w", {stepOf(1), step}), registryWith(runners), "prices");
}

} // namespace

TEST_CASE("A gang fits a pool that has room for all its tasks at once",
          "[workflow]") {
  CHECK(fitOn(2, stepOf(2 * PlacesPerRunner, true)) == PoolFit::Fits);
  CHECK(fitOn(2, stepOf(2 * PlacesPerRunner + 1, true)) ==
        PoolFit::GangTooWide);
}

TEST_CASE("A gang fits only as often on a runner as it may share one",
          "[workflow]") {
  protocol::StepSpec step = stepOf(4, true);
  step.set_max_per_runner(2);
  CHECK(fitOn(1, step) == PoolFit::GangTooWide);
  CHECK(fitOn(2, step) == PoolFit::Fits);
}

TEST_CASE("Tasks that aren't a gang need no room at the same time",
          "[workflow]") {
  CHECK(fitOn(1, stepOf(10 * PlacesPerRunner)) == PoolFit::Fits);
}

TEST_CASE("A task that is larger than every runner doesn't fit", "[workflow]") {
  const bool gang = GENERATE(false, true);
  protocol::StepSpec step = stepOf(2, gang);
  step.mutable_needs()->set_milli_processors(32'001);
  CHECK(fitOn(3, step) == PoolFit::TaskTooLarge);
}

TEST_CASE("A pool without known runners fits everything", "[workflow]") {
  CHECK(fitOn(0, stepOf(1000, true)) == PoolFit::Fits);
  CHECK(fitOf(specOf("w", {stepOf(1000, true)}), registryWith(1), "renders") ==
        PoolFit::Fits);
}

TEST_CASE("A gang that is wider than its pool is refused at once",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 1000);
  const auto submit = [&](const std::string &id, std::uint32_t width) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    *call.mutable_submit() = specOf(id, {stepOf(width, true)});
    protocol::WorkflowAnswer answer;
    cell.Leader.call(
        call, [&](const protocol::WorkflowAnswer &it) { answer = it; },
        cell.Now);
    cell.pass(LedCell::SchedulingTime);
    return answer;
  };
  const protocol::WorkflowAnswer wide =
      submit("0000000000000001", PlacesPerRunner + 1);
  CHECK(wide.verdict() == protocol::VERDICT_REFUSED);
  CHECK(wide.reason() == "wider than the pool");
  CHECK_FALSE(cell.State.find("0000000000000001"));
  CHECK(submit("0000000000000002", PlacesPerRunner).verdict() ==
        protocol::VERDICT_OK);
}
