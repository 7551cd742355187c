#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
const TaskKey First{{Job, 0, 0}, 0};

/// The number of jobs of the queue that a caller is told to be waiting.
std::uint64_t waitingIn(LedCell &cell) {
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/");
  call.mutable_state();
  std::uint64_t waiting = 0;
  cell.Leader.call(
      call, [&](const protocol::WorkflowAnswer &it) { waiting = it.waiting(); },
      cell.Now);
  return waiting;
}

PollAnswer lists(std::int64_t clockMs) {
  PollAnswer answer;
  answer.ClockMs = clockMs;
  return answer;
}

/// A cell in which a job is assigned to its only runner.
struct Fixture : LedCell {
  Fixture() {
    heartbeat(runnerOf("i-1"), 1, 5'000'000);
    pass(SchedulingTime);
    answerPoll(lists(5'000'030));
    submit(Job);
    pass(SchedulingTime);
    REQUIRE(Starts.size() == 1);
  }

  /// Lets the runner's leases lapse without an answer of it.
  void loseRunner() {
    for (int i = 0; i < 300; ++i) {
      if (!Polls.empty()) {
        Leader.pollAnswered(Polls.back(), {}, Now);
        Polls.clear();
      }
      pass(Milliseconds(50));
    }
    REQUIRE(task(Job).Runner.empty());
  }
};

} // namespace

// Guards against a queue that is shown as shorter than it is for as long as the
// runners that it needs are missing.
TEST_CASE("A job whose start was never answered is still counted as waiting "
          "after the lease of its runner has lapsed",
          "[workflow]") {
  Fixture cell;
  cell.loseRunner();
  CHECK(waitingIn(cell) == 1);
}

TEST_CASE("A job whose start was confirmed isn't counted as waiting after its "
          "runner was lost",
          "[workflow]") {
  Fixture cell;
  cell.answerStart(OrderAnswer::Done);
  cell.loseRunner();
  CHECK(waitingIn(cell) == 0);
  CHECK(cell.State.find(Job)->Started);
}

TEST_CASE("A job whose start was never answered is counted as waiting by a "
          "leader that took over before the lease lapsed",
          "[workflow]") {
  Fixture before;
  LedCell cell{before.State};
  for (int i = 0; i < 300; ++i) {
    if (!cell.Polls.empty()) {
      cell.Leader.pollAnswered(cell.Polls.back(), {}, cell.Now);
      cell.Polls.clear();
    }
    cell.pass(Milliseconds(50));
  }
  REQUIRE(cell.task(Job).Runner.empty());
  CHECK(waitingIn(cell) == 1);
}

TEST_CASE("A job whose run was refused is counted as waiting", "[workflow]") {
  Fixture cell;
  cell.answerStart(OrderAnswer::NoRoom);
  CHECK(waitingIn(cell) == 1);
}

TEST_CASE("Ends of runs that were stored without a mark of their beginning can "
          "be read",
          "[workflow]") {
  const auto startedBy = [](protocol::RunEnd how) {
    WorkflowState state = LedCell::configuredState();
    state.apply(acceptOf(specOf(Job, {stepOf(2)})));
    state.apply(assignOf(First, 1, "i-1"));
    state.apply(endOf(First, 1, "i-1", how));
    WorkflowState restored;
    restored.restore(state.snapshot());
    CHECK(restored.find(Job)->Started == state.find(Job)->Started);
    return restored.find(Job)->Started;
  };
  CHECK(startedBy(protocol::RUN_DONE));
  CHECK(startedBy(protocol::RUN_FAILED));
  CHECK(startedBy(protocol::RUN_STOPPED));
  CHECK_FALSE(startedBy(protocol::RUN_LOST));
  CHECK_FALSE(startedBy(protocol::RUN_LAPSED));
}
