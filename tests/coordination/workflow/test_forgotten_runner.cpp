#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

TEST_CASE("A runner that was out of reach until it was forgotten gets work "
          "again in the same life",
          "[workflow]") {
  const std::string job = "000000000000000a";
  std::int64_t clockMs = 5'000'000;
  protocol::RunnerInfo info = runnerOf("i-1");
  info.set_born_unix_ms(50'000);
  const auto lists = [&] {
    PollAnswer answer;
    answer.BornUnixMs = info.born_unix_ms();
    answer.ClockMs = clockMs;
    return answer;
  };
  LedCell cell;
  cell.heartbeat(info, 1, clockMs);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(lists());
  while (cell.State.runners().contains("i-1")) {
    cell.failPoll();
    clockMs += RunnerRegistryOptions().RetryDelay.count();
  }

  cell.heartbeat(info, 2, clockMs);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(lists());
  cell.answerPoll(lists());
  cell.submit(job);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.State.runners().contains("i-1"));
  CHECK(cell.Starts.size() == 1);
}
