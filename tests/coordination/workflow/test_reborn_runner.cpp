#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint64_t FirstBorn = 50'000;
constexpr std::uint64_t SecondBorn = 90'000;
constexpr std::uint64_t ThirdBorn = 95'000;
constexpr std::uint64_t Term = 7;

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

template <class Order> std::uint64_t tokenOf(const Order &order) {
  return fencingTokenOf(Term, order.LifeNumber);
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
          "[workflow]") {
  Fixture cell;
  CHECK(cell.Polls.back().EndsStored == 5);
  cell.beginSecondLife();
  CHECK(cell.Polls.back().EndsStored == 0);
}

TEST_CASE("A task that is done in a runner's new life does not run again",
          "[workflow]") {
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
          "[workflow]") {
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
          "[workflow]") {
  Fixture cell;
  protocol::RunnerInfo moved = lifeOf(SecondBorn);
  moved.set_address("i-1:81");
  cell.heartbeat(moved, 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.State.runners().at("i-1").address() == "i-1:81");
  CHECK(cell.Polls.back().Address == "i-1:81");
}

TEST_CASE("A runner that left gets work again in its new life", "[workflow]") {
  Fixture cell;
  cell.Leader.deregister(
      {"i-1", FirstBorn}, [] {}, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  cell.beginSecondLife();
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.Starts.back().Run == cell.Run);
}

TEST_CASE("A delayed heartbeat of a former life does not undo the next one",
          "[workflow]") {
  Fixture cell;
  cell.beginSecondLife();
  protocol::RunnerInfo late = lifeOf(FirstBorn);
  late.set_draining(true);
  cell.heartbeat(late, 41, FirstClockMs);
  CHECK(cell.State.runners().at("i-1").born_unix_ms() == SecondBorn);
  CHECK_FALSE(cell.Leader.runners().find("i-1")->Info.draining());
}

TEST_CASE("A heartbeat that states no life does not replace one that does",
          "[workflow]") {
  Fixture cell;
  protocol::RunnerInfo other = lifeOf(0);
  other.set_address("elsewhere:80");
  cell.heartbeat(other, 100, FirstClockMs);
  CHECK(cell.State.runners().at("i-1").address() == "i-1:80");
}

TEST_CASE("A deregistration of a former life does not remove the next one",
          "[workflow]") {
  Fixture cell;
  cell.beginSecondLife();
  const auto born = GENERATE(values<std::uint64_t>({FirstBorn, 0}));
  cell.Leader.deregister(
      {"i-1", born}, [] {}, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK_FALSE(cell.Leader.runners().find("i-1")->Gone);
  CHECK(cell.State.runners().contains("i-1"));
}

TEST_CASE("A start that reached the runner's new life runs on", "[workflow]") {
  Fixture cell;
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.back().Run == cell.Run);
  const std::size_t starts = cell.Starts.size();
  cell.heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(runningOn(SecondBorn, SecondClockMs, cell.Run));
  cell.answerPoll(endedOn(SecondBorn, SecondClockMs, 1, cell.Run));
  CHECK(cell.phase(Job) == Phase::Completed);
  CHECK(cell.Starts.size() == starts);
  CHECK(cell.Stops.empty());
}

TEST_CASE("A start that the runner's new life may still carry out is stopped "
          "there before the task starts again",
          "[workflow]") {
  Fixture cell;
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  const std::size_t starts = cell.Starts.size();
  cell.heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Stops.size() == 1);
  CHECK(cell.Stops[0].Run == cell.Run);
  CHECK(cell.task(Job).Runner == "i-1");
  CHECK(cell.Starts.size() == starts);

  cell.Leader.stopAnswered(cell.Stops[0], OrderAnswer::Done, cell.Now);
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  CHECK(cell.Starts.size() == starts + 1);
  CHECK(cell.Starts.back().Run.Run == 2);
}

TEST_CASE("A run of a former life starts again at once", "[workflow]") {
  Fixture cell;
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  cell.answerStart(OrderAnswer::Done);
  cell.heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  CHECK(cell.Stops.empty());
  CHECK(cell.Starts.back().Run.Run == 2);
}

TEST_CASE("An answer to an order for a former life does not count for the next",
          "[workflow]") {
  Fixture cell;
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  const StartOrder former = cell.Starts.back();
  cell.beginSecondLife();
  cell.Leader.startAnswered(former, OrderAnswer::OtherLife, cell.Now);
  cell.pass(LedCell::SchedulingTime);
  CHECK_FALSE(cell.Leader.runners().find("i-1")->Gone);
}

TEST_CASE("A new life that a poll shows gets no work before it announces "
          "itself",
          "[workflow]") {
  Fixture cell;
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  const RunnerEntry &runner = *cell.Leader.runners().find("i-1");
  CHECK(runner.Info.born_unix_ms() == SecondBorn);
  CHECK(runner.LastEndSeen == 0);
  CHECK_FALSE(cell.Leader.runners().isUsable(runner, cell.Now.Now));

  cell.heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
  CHECK(cell.Leader.runners().isUsable(runner, cell.Now.Now));
  CHECK(cell.State.runners().at("i-1").born_unix_ms() == SecondBorn);
}

TEST_CASE("Lists that state another life or none are not used", "[workflow]") {
  Fixture cell;
  cell.beginSecondLife();
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  const auto born = GENERATE(values<std::uint64_t>({FirstBorn, 0}));
  cell.answerPoll(endedOn(born, FirstClockMs, 1, cell.Run));
  CHECK(cell.phase(Job) == Phase::Running);
  CHECK(cell.Leader.runners().find("i-1")->FailedPolls == 1);
}

TEST_CASE("A run stays with an unreachable runner until a lease that its new "
          "life took over on the former clock has expired",
          "[workflow]") {
  Fixture cell;
  // The new life carries out a poll with a lease end on the former clock; the
  // runner shortens it to the longest lease.
  REQUIRE(cell.Polls.back().LeaseUntilMs);
  REQUIRE(*cell.Polls.back().LeaseUntilMs >
          SecondClockMs + RunnerRegistryOptions().LongestLease.count());
  const SteadyTime extended = cell.Now.Now;
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  cell.heartbeat(lifeOf(SecondBorn), 1, SecondClockMs);
  cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.back().Run == cell.Run);
  cell.answerStart(OrderAnswer::Done);
  while (!cell.task(Job).Runner.empty()) {
    cell.failPoll();
  }
  CHECK(cell.Now.Now - extended >= RunnerRegistryOptions().LongestLease);
}

TEST_CASE("What a runner's new life announces is not undone by the poll that "
          "showed it",
          "[workflow]") {
  Fixture cell;
  PollAnswer lists = listsOf(SecondBorn, SecondClockMs);
  lists.Answer = OrderAnswer::Done;
  cell.Leader.pollAnswered(cell.Polls.back(), lists, cell.Now);
  protocol::RunnerInfo moved = lifeOf(SecondBorn);
  moved.set_address("i-1:81");
  cell.heartbeat(moved, 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.State.runners().at("i-1").address() == "i-1:81");
  CHECK(cell.Leader.runners().find("i-1")->Info.address() == "i-1:81");
}

TEST_CASE(
    "A new leader keeps a run with an unreachable runner until a lease on "
    "the runner's former clock has expired",
    "[workflow]") {
  Fixture cell;
  // The new life carries out the latest poll, whose lease end is on the former
  // clock, and its answer is lost.
  REQUIRE(cell.Polls.back().LeaseUntilMs);
  const SteadyTime extended = cell.Now.Now;
  cell.beginSecondLife();
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  cell.answerStart(OrderAnswer::Done);

  LedCell next(cell.State);
  next.Now = cell.Now;
  next.pass(LedCell::SchedulingTime);
  while (!next.task(Job).Runner.empty()) {
    next.failPoll();
  }
  CHECK(next.Now.Now - extended >= RunnerRegistryOptions().LongestLease);
}

// Guards against a start that is carried out late, by the runner's next life,
// after its task has ended or was started elsewhere.
TEST_CASE("A runner's new life refuses late orders to former ones once it has "
          "got an order",
          "[workflow]") {
  Fixture cell;
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.back().Run == cell.Run);
  const StartOrder late = cell.Starts.back();
  const std::size_t polls = cell.Polls.size();

  SECTION("unanswered") {}
  SECTION("its repetition was answered and the job completed") {
    cell.answerStart(OrderAnswer::Silent);
    REQUIRE(cell.Starts.back().Run == cell.Run);
    cell.answerStart(OrderAnswer::Done);
    cell.answerPoll(endedOn(FirstBorn, FirstClockMs, 6, cell.Run));
    REQUIRE(cell.phase(Job) == Phase::Completed);
  }
  SECTION("there was another life in between") { cell.beginSecondLife(); }
  SECTION("the runner had left") {
    cell.Leader.deregister(
        {"i-1", FirstBorn}, [] {}, cell.Now);
    cell.pass(LedCell::SchedulingTime);
  }
  SECTION("a poll shows the new life first") {
    cell.answerPoll(listsOf(SecondBorn, SecondClockMs));
  }

  cell.heartbeat(lifeOf(ThirdBorn), 1, SecondClockMs);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Polls.size() > polls);
  CHECK(cell.Polls.back().BornUnixMs == ThirdBorn);
  CHECK(tokenOf(cell.Polls.back()) > tokenOf(late));
}

TEST_CASE(
    "Orders of a later term have higher fencing tokens than all orders of "
    "a former one",
    "[workflow]") {
  CHECK(fencingTokenOf(Term + 1, 0) > fencingTokenOf(Term, MaxLifeNumber));
  Fixture cell;
  cell.beginSecondLife();
  LedCell next(cell.State);
  next.pass(LedCell::SchedulingTime);
  CHECK(fencingTokenOf(Term + 1, next.Polls.back().LifeNumber) >
        tokenOf(cell.Polls.back()));
}

TEST_CASE(
    "An order that a runner refuses because of a later one of this leader "
    "does not depose it",
    "[workflow]") {
  RunnerRegistry registry({},
                          [](const StepKey &) { return ResourceAmounts(); });
  const SteadyTime now{std::chrono::seconds(100)};
  registry.add(lifeOf(FirstBorn), now);
  registry.tick(now);
  const PollOrder earlier = registry.takeEffects().Polls.at(0);
  registry.forget("i-1");
  registry.add(lifeOf(FirstBorn), now);
  registry.tick(now);
  const PollOrder later = registry.takeEffects().Polls.at(0);
  REQUIRE(tokenOf(later) > tokenOf(earlier));
  PollAnswer fenced;
  fenced.Answer = OrderAnswer::Fenced;

  registry.startAnswered(
      {"i-1", {}, {}, {}, 0, {}, {}, FirstBorn, earlier.LifeNumber},
      OrderAnswer::Fenced, now);
  registry.stopAnswered({"i-1", {}, {}, FirstBorn, earlier.LifeNumber},
                        OrderAnswer::Fenced, now);
  registry.pollAnswered(earlier, fenced, now);
  CHECK_FALSE(registry.takeEffects().Deposed);

  registry.pollAnswered(later, fenced, now);
  CHECK(registry.takeEffects().Deposed);
}

TEST_CASE("A leader that can't number a runner's life fails the decision",
          "[workflow]") {
  RunnerRegistry registry({},
                          [](const StepKey &) { return ResourceAmounts(); });
  const SteadyTime now{std::chrono::seconds(100)};
  for (std::uint64_t born = 1; born <= MaxLifeNumber; ++born) {
    registry.add(lifeOf(born), now);
  }
  CHECK(registry.find("i-1")->LifeNumber == MaxLifeNumber);
  CHECK_THROWS_AS(registry.add(lifeOf(MaxLifeNumber + 1), now),
                  std::overflow_error);
}
