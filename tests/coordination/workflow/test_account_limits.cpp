#include "masticwinch/coordination/workflow/account_limits.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"
#include <string>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::workflow;
using tests::configOf;
using tests::specOf;
using tests::stepOf;

namespace {

protocol::Amounts capOf(std::uint32_t processors, std::uint64_t memory = 0,
                        std::uint32_t accelerators = 0) {
  protocol::Amounts cap;
  cap.set_milli_processors(processors);
  cap.set_memory_mb(memory);
  cap.set_accelerators(accelerators);
  return cap;
}

/// A hundred waiting steps of one task of one core each.
struct ManySteps {
  ManySteps() {
    for (int i = 0; i < 100; ++i) {
      Keys.push_back({"w" + std::to_string(100 + i), 0, 0});
    }
    for (const StepKey &it : Keys) {
      Steps.push_back({&it, {1000, 0, 0}, 1, false, false});
    }
  }

  std::vector<StepKey> Keys;
  std::vector<WaitingStep> Steps;
};

} // namespace

// Guards against a cap that is exceeded in one resource because another one has
// room left.
TEST_CASE("The scarcest of the three resources limits the tasks",
          "[workflow]") {
  const ResourceAmounts needs{2000, 1024, 1};
  CHECK(tasksBelowCap(capOf(8000, 100'000, 100), {}, needs) == 4);
  CHECK(tasksBelowCap(capOf(80'000, 3 * 1024 + 1, 100), {}, needs) == 3);
  CHECK(tasksBelowCap(capOf(80'000, 100'000, 2), {}, needs) == 2);
  CHECK(tasksBelowCap(capOf(8000), {3000, 0, 0}, needs) == 2);
  CHECK(tasksBelowCap(capOf(8000), {6001, 0, 0}, needs) == 0);
}

// Guards against a zero in the configuration that stops an account.
TEST_CASE("A resource without a limit does not limit the tasks", "[workflow]") {
  CHECK(tasksBelowCap({}, {1000, 1000, 1000}, {1, 1, 1}) == AnyNumber);
  CHECK(tasksBelowCap(capOf(0, 0, 3), {5000, 0, 0}, {1000, 0, 1}) == 3);
  CHECK_FALSE(isLimited({}));
  CHECK(isLimited(capOf(0, 1)));
}

// Guards against work that waits for a resource that it does not need.
TEST_CASE("A task that needs none of a resource starts also above its cap",
          "[workflow]") {
  CHECK(tasksBelowCap(capOf(8000, 0, 1), {0, 0, 2}, {4000, 0, 0}) == 2);
}

// Guards against a gang of which a part starts.
TEST_CASE("A gang fits below the cap whole or not at all", "[workflow]") {
  CHECK(startableBelowCap(capOf(4000), {}, stepOf(4, true), 4) == 4);
  CHECK(startableBelowCap(capOf(4000), {1, 0, 0}, stepOf(4, true), 4) == 0);
  CHECK(startableBelowCap(capOf(4000), {1, 0, 0}, stepOf(4), 4) == 3);
}

// Guards against work that waits for good.
TEST_CASE("A gang or task that is larger than the cap can never fit",
          "[workflow]") {
  CHECK(canEverFit(specOf("w", {stepOf(4, true)}), capOf(4000)));
  CHECK_FALSE(canEverFit(specOf("w", {stepOf(5, true)}), capOf(4000)));
  CHECK(canEverFit(specOf("w", {stepOf(5)}), capOf(4000)));
  CHECK_FALSE(canEverFit(specOf("w", {stepOf(1), stepOf(1)}), capOf(999)));
  CHECK(canEverFit(specOf("w", {stepOf(1000, true)}), {}));
}

// Guards against an objective that work below the cap can't meet.
TEST_CASE("A step that is wider than the cap takes several waves",
          "[workflow]") {
  CHECK(wavesOf(stepOf(9), capOf(4000)) == 3);
  CHECK(wavesOf(stepOf(8), capOf(4000)) == 2);
  CHECK(wavesOf(stepOf(4), capOf(4000)) == 1);
  CHECK(wavesOf(stepOf(4, true), capOf(4000)) == 1);
  CHECK(wavesOf(stepOf(1000), {}) == 1);
  CHECK(wavesOf(stepOf(7), capOf(1)) == 7);

  protocol::WorkflowSpec spec = specOf("w", {stepOf(9), stepOf(2)});
  spec.mutable_steps(1)->add_after(0);
  const protocol::CellConfig config = configOf(1);
  const auto paths =
      remainingCriticalPaths(spec, config.queues(0), capOf(4000));
  CHECK(paths[0] == Milliseconds(4000));
  CHECK(paths[1] == Milliseconds(1000));
  CHECK(remainingCriticalPaths(spec, config.queues(0))[0] ==
        Milliseconds(2000));
}

// Guards against times of many long tasks that overflow.
TEST_CASE("The critical path of the widest steps is bounded", "[workflow]") {
  protocol::StepSpec step = stepOf(4'000'000'000U);
  step.set_estimate_ms(4'000'000'000U);
  const auto paths = remainingCriticalPaths(specOf("w", {step}),
                                            configOf(1).queues(0), capOf(1000));
  CHECK(paths[0] == LongestObjective);
}

// Guards against a wait that ignores a limit of memory or accelerators, and
// against one for a resource that a submission does not need.
TEST_CASE("The time on the cap is that of the scarcest resource that is needed",
          "[workflow]") {
  CHECK(microsOnCap(stepOf(8), 8, capOf(4000)) == MicrosOnCap{2'000'000, 0, 0});
  const MicrosOnCap both = microsOnCap(stepOf(8), 8, capOf(4000, 2048));
  CHECK(both == MicrosOnCap{2'000'000, 4'000'000, 0});
  CHECK(longestOf(both, specOf("w", {stepOf(1)})) == 4'000'000);
  CHECK(longestOf({1, 2, 3}, specOf("w", {stepOf(1)})) == 2);
  CHECK(microsOnCap(stepOf(8), 8, {}) == MicrosOnCap{});
}

// Guards against an account with many waiting steps that takes the places of
// all others in a pass, and against steps of it that are never tried.
TEST_CASE("A pass tries the steps that the cap has room for and others in turn",
          "[workflow]") {
  ManySteps many;
  CappedSteps capped;
  std::vector<bool> tried(many.Steps.size(), false);
  for (int pass = 0; pass < 60; ++pass) {
    const auto selected =
        capped.select("north", capOf(10'000), {5000, 0, 0}, many.Steps);
    REQUIRE(selected.size() == 7);
    for (std::size_t i = 0; i < 5; ++i) {
      CHECK(selected[i] == i);
    }
    for (const std::size_t it : selected) {
      tried[it] = true;
    }
    capped.endPass();
  }
  CHECK(std::count(tried.begin(), tried.end(), true) == 100);
  CHECK(capped.select("north", capOf(10'000), {10'000, 0, 0}, many.Steps)
            .empty());
}

// Guards against a gang that finds no runners and keeps the other work of its
// account from being tried.
TEST_CASE("Gangs and late steps leave the room below the cap to others",
          "[workflow]") {
  const StepKey gang{"g", 0, 0};
  const StepKey late{"l", 0, 0};
  const StepKey other{"o", 0, 0};
  CappedSteps capped;
  const auto selected = capped.select("north", capOf(4000), {},
                                      {{&gang, {1000, 0, 0}, 4, true, false},
                                       {&other, {1000, 0, 0}, 8, false, false},
                                       {&late, {1000, 0, 0}, 8, false, true}});
  CHECK(selected == std::vector<std::size_t>{0, 1, 2});
}
