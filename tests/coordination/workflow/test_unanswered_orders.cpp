#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";

/// A cell in which the runner "i-2" answers each poll, and no answer to an
/// order to "i-1" ever arrives, not even that there is none.
struct Fixture : LedCell {
  explicit Fixture(WorkflowState state = configuredState())
      : LedCell(std::move(state)) {}

  /// Lets time pass in which "i-2" answers.
  void passAnswering(Milliseconds time) {
    constexpr Milliseconds Step{50};
    for (Milliseconds passed{0}; passed < time; passed += Step) {
      pass(Step);
      ClockMs += Step.count();
      for (const PollOrder &it : std::exchange(Polls, {})) {
        PollsOfFirst += it.Runner == "i-1" ? 1 : 0;
        if (it.Runner == "i-2") {
          Leader.pollAnswered(it, lists(), Now);
        }
      }
    }
  }

  PollAnswer lists() const {
    PollAnswer answer;
    answer.Answer = OrderAnswer::Done;
    answer.ClockMs = ClockMs;
    return answer;
  }

  /// Adopts "i-1", and starts the job's task there.
  void startOnFirst() {
    heartbeat(runnerOf("i-1"), 1, ClockMs);
    pass(SchedulingTime);
    answerPoll(lists());
    submit(Job);
    pass(SchedulingTime);
    REQUIRE(Starts.size() == 1);
    REQUIRE(Starts[0].Runner == "i-1");
  }

  bool startedOnSecond() const {
    return std::any_of(Starts.begin(), Starts.end(),
                       [](const StartOrder &it) { return it.Runner == "i-2"; });
  }

  std::int64_t ClockMs = 5'000'000;
  int PollsOfFirst = 0;
};

/// Longer than the lease of a runner, and than any time for an answer.
constexpr Milliseconds LongEnough{15'000};

} // namespace

TEST_CASE("A runner is polled again after a poll whose outcome was lost",
          "[workflow]") {
  Fixture cell;
  cell.heartbeat(runnerOf("i-1"), 1, cell.ClockMs);
  cell.passAnswering(LongEnough);
  CHECK(cell.PollsOfFirst > 1);
}

TEST_CASE("A task starts elsewhere after the outcomes of its start and of its "
          "runner's polls were lost",
          "[workflow]") {
  Fixture cell;
  cell.startOnFirst();
  cell.heartbeat(runnerOf("i-2"), 1, cell.ClockMs);
  cell.passAnswering(LongEnough);
  CHECK(cell.startedOnSecond());
}

TEST_CASE("A task starts again after the outcome of its start was lost, though "
          "its runner answers polls",
          "[workflow]") {
  Fixture cell;
  cell.heartbeat(runnerOf("i-2"), 1, cell.ClockMs);
  cell.passAnswering(Milliseconds(100));
  cell.submit(Job);
  cell.passAnswering(Milliseconds(100));
  REQUIRE(cell.Starts.size() == 1);
  cell.passAnswering(LongEnough);
  // The start is repeated or stopped, so that the run can't stay unknown.
  CHECK(cell.Starts.size() + cell.Stops.size() > 1);
}

TEST_CASE("A task that is assigned to a runner which the new leader doesn't "
          "know starts elsewhere",
          "[workflow]") {
  WorkflowState state = LedCell::configuredState();
  state.apply(acceptOf(specOf(Job, {stepOf(1)})));
  state.apply(assignOf({{Job, 0, 0}, 0}, 1, "i-1"));
  Fixture cell{state};
  cell.heartbeat(runnerOf("i-2"), 1, cell.ClockMs);
  cell.passAnswering(LongEnough);
  CHECK(cell.startedOnSecond());
}
