#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint64_t FirstBorn = 50'000;
constexpr std::uint64_t SecondBorn = 90'000;

/// Times on the clocks of the two lives.
constexpr std::int64_t FirstClockMs = 5'000'000;
constexpr std::int64_t SecondClockMs = 700;

const std::string Earlier = "000000000000000a";
const std::string Job = "000000000000000b";

protocol::RunnerInfo lifeOf(std::uint64_t born) {
  protocol::RunnerInfo info = runnerOf("i-1");
  info.set_born_unix_ms(born);
  return info;
}

PollAnswer listsOf(std::uint64_t born, std::int64_t clockMs) {
  PollAnswer answer;
  answer.BornUnixMs = born;
  answer.ClockMs = clockMs;
  return answer;
}

PollAnswer runningOn(std::uint64_t born, std::int64_t clockMs,
                     const RunKey &run) {
  PollAnswer answer = listsOf(born, clockMs);
  answer.Running.push_back({run, ""});
  return answer;
}

PollAnswer endedOn(std::uint64_t born, std::int64_t clockMs,
                   std::uint64_t number, const RunKey &run) {
  PollAnswer answer = listsOf(born, clockMs);
  answer.Ended.push_back({number, run, protocol::RUN_DONE, ""});
  return answer;
}

/// A cell with the runner "i-1" in its first life, which has run a task to its
/// end; the end has the number 5 and is stored.
struct Fixture : LedCell {
  Fixture() {
    heartbeat(lifeOf(FirstBorn), 40, FirstClockMs);
    pass(SchedulingTime);
    answerPoll(listsOf(FirstBorn, FirstClockMs));
    submit(Earlier);
    pass(SchedulingTime);
    answerStart(OrderAnswer::Done);
    answerPoll(endedOn(FirstBorn, FirstClockMs, 5, {{{Earlier, 0, 0}, 0}, 1}));
    REQUIRE(phase(Earlier) == Phase::Completed);
  }

  /// The runner starts again, and its first poll is answered.
  void beginSecondLife() {
    heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
    pass(SchedulingTime);
    answerPoll(listsOf(SecondBorn, SecondClockMs));
  }

  const RunKey Run{{{Job, 0, 0}, 0}, 1};
};

} // namespace

TEST_CASE("An end of a runner's new life is not acknowledged before it is read",
          "[workflow][.known-red]") {
  Fixture cell;
  CHECK(cell.Polls.back().EndsStored == 5);
  cell.beginSecondLife();
  CHECK(cell.Polls.back().EndsStored == 0);
}

TEST_CASE("A task that is done in a runner's new life does not run again",
          "[workflow][.known-red]") {
  Fixture cell;
  cell.beginSecondLife();
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.back().Run == cell.Run);
  cell.answerStart(OrderAnswer::Done);
  cell.answerPoll(runningOn(SecondBorn, SecondClockMs, cell.Run));
  const std::size_t starts = cell.Starts.size();
  cell.answerPoll(endedOn(SecondBorn, SecondClockMs, 1, cell.Run));
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == starts);
}

TEST_CASE("The lease of a runner's new life is on its new clock",
          "[workflow][.known-red]") {
  Fixture cell;
  cell.beginSecondLife();
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.back().Run == cell.Run);
  const Milliseconds lease = RunnerRegistryOptions().Lease;
  CHECK(cell.Starts.back().LeaseUntilMs <=
        SecondClockMs + lease.count() + 1000);
}

TEST_CASE("A heartbeat of a runner's new life counts whatever its sequence",
          "[workflow][.known-red]") {
  Fixture cell;
  protocol::RunnerInfo moved = lifeOf(SecondBorn);
  moved.set_address("i-1:81");
  cell.heartbeat(moved, 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.State.runners().at("i-1").address() == "i-1:81");
  CHECK(cell.Polls.back().Address == "i-1:81");
}

TEST_CASE("A runner that left gets work again in its new life",
          "[workflow][.known-red]") {
  Fixture cell;
  cell.Leader.deregister(
      "i-1", [] {}, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  cell.submit(Job);
  cell.beginSecondLife();
  CHECK(cell.Starts.back().Run == cell.Run);
}
