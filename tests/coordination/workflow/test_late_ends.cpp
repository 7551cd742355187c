#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";

/// A cell in which "i-1" has started a job's task and then answered no poll
/// until its lease had expired and the run was released.
struct Fixture : LedCell {
  explicit Fixture(const std::vector<protocol::StepSpec> &steps = {stepOf(1)}) {
    heartbeat(runnerOf("i-1"), 1, ClockMs);
    pass(SchedulingTime);
    answerPoll(lists());
    submit(Job, steps);
    pass(SchedulingTime);
    for (const StartOrder &it : Starts) {
      Leader.startAnswered(it, OrderAnswer::Done, Now);
    }
    while (!task(Job).Runner.empty()) {
      failPoll();
      ClockMs += RunnerRegistryOptions().RetryDelay.count();
    }
  }

  PollAnswer lists() const {
    PollAnswer answer;
    answer.ClockMs = ClockMs;
    return answer;
  }

  /// Lists the end of run 1 of a task.
  PollAnswer ended(protocol::RunEnd how, std::uint32_t index = 0) const {
    PollAnswer answer = lists();
    answer.Ended.push_back({1, {{{Job, 0, 0}, index}, 1}, how, ""});
    return answer;
  }

  std::int64_t ClockMs = 5'000'000;
};

} // namespace

TEST_CASE("A task whose run ended as done before it was released does not run "
          "again",
          "[workflow]") {
  Fixture cell;
  const std::size_t starts = cell.Starts.size();
  cell.answerPoll(cell.ended(protocol::RUN_DONE));
  cell.answerPoll(cell.lists());
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == starts);
}

TEST_CASE("A gang of which a run ended as done before it was released does not "
          "run again",
          "[workflow]") {
  Fixture cell({stepOf(2, true)});
  const std::size_t starts = cell.Starts.size();
  cell.answerPoll(cell.ended(protocol::RUN_DONE, 1));
  cell.answerPoll(cell.lists());
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == starts);
}

TEST_CASE("A task whose run ended otherwise before it was released runs again",
          "[workflow]") {
  Fixture cell;
  const std::size_t starts = cell.Starts.size();
  cell.answerPoll(
      cell.ended(GENERATE(protocol::RUN_LAPSED, protocol::RUN_FAILED)));
  cell.answerPoll(cell.lists());
  CHECK(cell.phase(Job) == Phase::Running);
  CHECK(cell.Starts.size() == starts + 1);
}
