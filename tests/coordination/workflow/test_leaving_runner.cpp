#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
constexpr std::int64_t ClockMs = 5'000'000;
constexpr std::uint64_t Born = 1000;

protocol::RunnerInfo runnerBorn(const std::string &id, std::uint64_t born) {
  protocol::RunnerInfo info = runnerOf(id);
  info.set_born_unix_ms(born);
  return info;
}

/// A cell in which "i-1" runs a job's task, and that "i-2" joins afterwards.
struct Fixture : LedCell {
  Fixture() {
    heartbeat(runnerBorn("i-1", Born), 1, ClockMs);
    pass(SchedulingTime);
    answerPoll(lists());
    submit(Job);
    pass(SchedulingTime);
    answerStart(OrderAnswer::Done);
    PollAnswer running = lists();
    running.Running.push_back({Run, ""});
    answerPoll(running);
    Late = Polls.back();
    heartbeat(runnerBorn("i-2", Born), 1, ClockMs);
    pass(SchedulingTime);
    answerPoll(lists());
    REQUIRE(Starts.size() == 1);
    Answered = Polls.size() - 1;
  }

  PollAnswer lists() const {
    PollAnswer answer;
    answer.Answer = OrderAnswer::Done;
    answer.BornUnixMs = Born;
    answer.ClockMs = ClockMs + (Now.Now - Began).count() / 1'000'000;
    return answer;
  }

  /// An answer that lists the run's end.
  PollAnswer ended(protocol::RunEnd how) const {
    PollAnswer answer = lists();
    answer.Ended.push_back({1, Run, how, ""});
    return answer;
  }

  void deregister() {
    Leader.deregister(
        {"i-1", Born}, [this] { Acknowledged = true; }, Now);
    pass(Milliseconds(0));
  }

  /// Lets time pass in which "i-2" answers its polls and "i-1" doesn't.
  void passWithoutLeaver(Milliseconds time) {
    const SteadyTime until = Now.Now + time;
    while (Now.Now < until) {
      for (; Answered < Polls.size(); ++Answered) {
        const PollOrder poll = Polls[Answered];
        Leader.pollAnswered(poll, poll.Runner == "i-1" ? PollAnswer() : lists(),
                            Now);
      }
      pass(SchedulingTime);
    }
  }

  const RunKey Run{{{Job, 0, 0}, 0}, 1};
  SteadyTime Began = Now.Now;
  /// A poll of "i-1" that has not been answered.
  PollOrder Late;
  /// Number of the polls that were answered, or won't be.
  std::size_t Answered = 0;
  bool Acknowledged = false;
};

} // namespace

// Guards against a start elsewhere while a runner that got no answer to its
// deregistration runs on.
TEST_CASE("A task of a runner that deregistered starts elsewhere only once its "
          "lease has expired",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  cell.passWithoutLeaver(RunnerRegistryOptions().Lease - Milliseconds(100));
  CHECK(cell.Starts.size() == 1);
  cell.passWithoutLeaver(Milliseconds(500));
  REQUIRE(cell.Starts.size() == 2);
  CHECK(cell.Starts.back().Runner == "i-2");
}

// Guards against a second start of a task whose end was listed in an answer
// that the deregistration overtook.
TEST_CASE("An end that a runner listed before it deregistered counts when its "
          "answer arrives later",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  cell.Leader.pollAnswered(cell.Late, cell.ended(protocol::RUN_DONE), cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == 1);
}

TEST_CASE("A task that a leaving runner lists as stopped starts elsewhere at "
          "once",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  cell.Leader.pollAnswered(cell.Late, cell.ended(protocol::RUN_STOPPED),
                           cell.Now);
  cell.passWithoutLeaver(Milliseconds(100));
  REQUIRE(cell.Starts.size() == 2);
  CHECK(cell.Starts.back().Runner == "i-2");
}

TEST_CASE("The lease of a runner that deregistered is not renewed",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  const std::size_t before = cell.Polls.size();
  PollAnswer running = cell.lists();
  running.Running.push_back({cell.Run, ""});
  cell.Leader.pollAnswered(cell.Late, running, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Polls.size() > before);
  CHECK(cell.Polls.back().Runner == "i-1");
  CHECK_FALSE(cell.Polls.back().LeaseUntilMs.has_value());
}

TEST_CASE("A heartbeat that its runner's deregistration has overtaken does not "
          "make it usable again",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  cell.heartbeat(runnerBorn("i-1", Born), 2, ClockMs);
  const RunnerEntry &runner = *cell.Leader.runners().find("i-1");
  CHECK(runner.Info.draining());
  CHECK(runner.Leaving);
}

// Guards against a new leader that can't ask a runner that left about its runs.
TEST_CASE("A new leader asks a runner that deregistered for its runs",
          "[workflow]") {
  Fixture former;
  former.deregister();
  LedCell cell(former.State);
  cell.pass(LedCell::SchedulingTime);
  const auto poll =
      std::find_if(cell.Polls.begin(), cell.Polls.end(),
                   [](const PollOrder &it) { return it.Runner == "i-1"; });
  REQUIRE(poll != cell.Polls.end());
  CHECK(poll->Address == "i-1:80");
  CHECK(cell.Leader.runners().find("i-1")->Leaving);
  cell.Leader.pollAnswered(*poll, former.ended(protocol::RUN_DONE), cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.empty());
  cell.pass(LedCell::SchedulingTime);
  CHECK_FALSE(cell.State.runners().contains("i-1"));
}

// Guards against ends that a runner can't list any more, since its
// deregistration was acknowledged before.
TEST_CASE("A deregistration is acknowledged once the ends of the runner's runs "
          "are known",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  cell.pass(RunnerRegistryOptions().LeaveGrace - Milliseconds(1));
  CHECK(cell.Stops.empty());
  cell.pass(Milliseconds(1));
  REQUIRE(cell.Stops.size() == 1);
  CHECK(cell.Stops.back().Run == cell.Run);
  CHECK_FALSE(cell.Acknowledged);
  cell.Leader.pollAnswered(cell.Late, cell.ended(protocol::RUN_STOPPED),
                           cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.Acknowledged);
  CHECK_FALSE(cell.State.runners().contains("i-1"));
}

TEST_CASE("A deregistration is acknowledged soon if the runner doesn't answer",
          "[workflow]") {
  Fixture cell;
  cell.deregister();
  const Milliseconds wait = WorkflowLeaderOptions().DepartureWait;
  cell.passWithoutLeaver(wait - LedCell::SchedulingTime);
  CHECK_FALSE(cell.Acknowledged);
  cell.passWithoutLeaver(2 * LedCell::SchedulingTime);
  CHECK(cell.Acknowledged);
  CHECK(cell.State.runners().at("i-1").leaving());
  cell.Acknowledged = false;
  cell.deregister();
  CHECK(cell.Acknowledged);
  cell.passWithoutLeaver(RunnerRegistryOptions().Lease);
  CHECK_FALSE(cell.State.runners().contains("i-1"));
  cell.Acknowledged = false;
  cell.deregister();
  CHECK(cell.Acknowledged);
}

// Guards against a second start of a task whose end was listed in an answer
// that the proof of its runner's end overtook.
TEST_CASE("An end as done that a runner listed before another one took its "
          "place counts",
          "[workflow]") {
  Fixture cell;
  SECTION("while the release is being stored") {
    PollAnswer other;
    other.Answer = OrderAnswer::OtherLife;
    cell.Leader.startAnswered(cell.Starts.back(), OrderAnswer::OtherLife,
                              cell.Now);
  }
  SECTION("after its next life announced itself") {
    cell.heartbeat(runnerBorn("i-1", Born + 500), 1, 0);
  }
  cell.Leader.pollAnswered(cell.Late, cell.ended(protocol::RUN_DONE), cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == 1);
}

TEST_CASE("An end that is listed in an answer to an earlier poll counts",
          "[workflow]") {
  Fixture cell;
  // The poll counts as unanswered, and the next one is on its way.
  cell.passWithoutLeaver(Milliseconds(1000));
  cell.Leader.pollAnswered(cell.Late, cell.ended(protocol::RUN_DONE), cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == 1);
}
