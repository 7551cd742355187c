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

TEST_CASE("A task whose run ended as done while its release was being stored "
          "does not run again",
          "[workflow]") {
  LedCell cell;
  std::int64_t clockMs = 5'000'000;
  cell.heartbeat(runnerOf("i-1"), 1, clockMs);
  cell.pass(LedCell::SchedulingTime);
  PollAnswer lists;
  lists.ClockMs = clockMs;
  cell.answerPoll(lists);
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  cell.answerStart(OrderAnswer::Done);
  const std::size_t starts = cell.Starts.size();
  const RunnerEntry &runner = *cell.Leader.runners().find("i-1");
  WorkflowEffects releasing;
  while (!runner.Runs.empty()) {
    cell.Leader.pollAnswered(cell.Polls.back(), {}, cell.Now);
    cell.Now.Now += RunnerRegistryOptions().RetryDelay;
    clockMs += RunnerRegistryOptions().RetryDelay.count();
    cell.Leader.tick(cell.Now);
    releasing = cell.Leader.takeEffects(cell.Now);
    REQUIRE(releasing.Polls.size() == 1);
    cell.Polls.push_back(releasing.Polls[0]);
  }
  REQUIRE(releasing.Batches.size() == 1);

  PollAnswer ended;
  ended.Answer = OrderAnswer::Done;
  ended.ClockMs = clockMs;
  ended.Ended.push_back({1, {{{Job, 0, 0}, 0}, 1}, protocol::RUN_DONE, ""});
  cell.Leader.pollAnswered(cell.Polls.back(), ended, cell.Now);
  const WorkflowEffects listed = cell.Leader.takeEffects(cell.Now);
  for (const WorkflowEffects *effects : {&std::as_const(releasing), &listed}) {
    for (const ProposedBatch &it : effects->Batches) {
      cell.State.apply(it.Record);
      cell.Leader.stored(it, cell.Now);
    }
  }
  cell.pass(LedCell::SchedulingTime);
  lists.ClockMs = clockMs;
  cell.answerPoll(lists);
  CHECK(cell.Polls.back().EndsStored == 1);
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == starts);
}
