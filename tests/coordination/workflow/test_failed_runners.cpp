#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";

PollAnswer answerAt(std::int64_t clockMs) {
  PollAnswer answer;
  answer.ClockMs = clockMs;
  return answer;
}

/// Answers the latest poll of a runner, and lets the leader act on the answer.
void answerPollsOf(LedCell &cell, const std::string &runner,
                   PollAnswer answer) {
  answer.Answer = OrderAnswer::Done;
  const auto poll =
      std::find_if(cell.Polls.rbegin(), cell.Polls.rend(),
                   [&](const PollOrder &it) { return it.Runner == runner; });
  cell.Leader.pollAnswered(*poll, answer, cell.Now);
  cell.pass(LedCell::SchedulingTime);
}

} // namespace

TEST_CASE("A task that failed on the only runner that may run it starts there "
          "again",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 1000);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(answerAt(1000));
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.size() == 1);
  cell.answerStart(OrderAnswer::Done);

  PollAnswer failed = answerAt(2000);
  failed.Ended.push_back({1, cell.Starts[0].Run, protocol::RUN_FAILED, ""});
  cell.answerPoll(failed);
  REQUIRE(cell.phase(Job) == Phase::Running);
  for (std::int64_t clockMs = 3000; clockMs < 30'000 && cell.Starts.size() < 2;
       clockMs += 500) {
    cell.pass(Milliseconds(500));
    cell.answerPoll(answerAt(clockMs));
  }
  REQUIRE(cell.Starts.size() == 2);
  CHECK(cell.Starts[1].Run.Run == 2);
}

TEST_CASE(
    "A task does not start again where it failed while another runner may "
    "run it",
    "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 1000);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(answerAt(1000));
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  cell.answerStart(OrderAnswer::Done);
  const PollOrder first = cell.Polls.back();
  cell.heartbeat(runnerOf("i-2"), 1, 1000);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(answerAt(1000));

  PollAnswer failed = answerAt(2000);
  failed.Answer = OrderAnswer::Done;
  failed.Ended.push_back({1, cell.Starts[0].Run, protocol::RUN_FAILED, ""});
  cell.Leader.pollAnswered(first, failed, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.size() == 2);
  CHECK(cell.Starts[1].Runner == "i-2");
}

// Guards against a task that is never started again because the runners on
// which it has not failed stay full.
TEST_CASE("A task starts again where it failed while the other runners are "
          "full",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 1000);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(answerAt(1000));
  protocol::StepSpec filling = stepOf(1);
  *filling.mutable_needs() = runnerOf("i-1").capacity();
  filling.set_long_running(true);
  cell.submit("000000000000000b", {filling});
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.size() == 1);
  cell.answerStart(OrderAnswer::Done);
  cell.heartbeat(runnerOf("i-2"), 1, 1000);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(answerAt(1000));
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.size() == 2);
  REQUIRE(cell.Starts[1].Runner == "i-2");
  cell.answerStart(OrderAnswer::Done);

  PollAnswer failed = answerAt(2000);
  failed.Ended.push_back({1, cell.Starts[1].Run, protocol::RUN_FAILED, ""});
  answerPollsOf(cell, "i-2", failed);
  const SteadyTime failedAt = cell.Now.Now;
  for (std::int64_t clockMs = 2300; cell.Starts.size() < 3; clockMs += 300) {
    REQUIRE(cell.Now.Now - failedAt < std::chrono::seconds(3));
    cell.pass(Milliseconds(300));
    PollAnswer filled = answerAt(clockMs);
    filled.Running.push_back({cell.Starts[0].Run, ""});
    answerPollsOf(cell, "i-1", filled);
    answerPollsOf(cell, "i-2", answerAt(clockMs));
  }
  CHECK(cell.Starts[2].Runner == "i-2");
  CHECK(cell.Now.Now - failedAt >= std::chrono::seconds(1));
}
