#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

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
