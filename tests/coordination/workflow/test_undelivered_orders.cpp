#include "masticwinch/coordination/workflow/runner_connections.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";

/// A cell whose runner "i-1" answers polls. The test answers the other orders.
struct Fixture : LedCell {
  Fixture() {
    heartbeat(runnerOf("i-1"), 1, ClockMs);
    answerPolls();
    submit(Job);
    passAnswering(SchedulingTime);
    REQUIRE(Starts.size() == 1);
  }

  /// Answers all polls, with no runs.
  void answerPolls() {
    for (const PollOrder &it : std::exchange(Polls, {})) {
      ++PollCount;
      LongPolls += it.WaitMs > 0 ? 1 : 0;
      PollAnswer answer;
      answer.Answer = OrderAnswer::Done;
      answer.ClockMs = ClockMs;
      Leader.pollAnswered(it, answer, Now);
    }
    pass(Milliseconds(0));
  }

  void passAnswering(Milliseconds time) {
    constexpr Milliseconds Step{10};
    for (Milliseconds passed{0}; passed < time; passed += Step) {
      pass(Step);
      ClockMs += Step.count();
      answerPolls();
    }
  }

  /// Lets time pass in which each start and stop is answered like this.
  void passFailing(Milliseconds time, OrderAnswer answer) {
    constexpr Milliseconds Step{10};
    for (Milliseconds passed{0}; passed < time; passed += Step) {
      for (const StartOrder &it : std::exchange(Starts, {})) {
        ++StartCount;
        Leader.startAnswered(it, answer, Now);
      }
      for (const StopOrder &it : std::exchange(Stops, {})) {
        ++StopCount;
        Leader.stopAnswered(it, answer, Now);
      }
      passAnswering(Step);
    }
  }

  bool isAssigned() const { return !task(Job).Runner.empty(); }

  std::int64_t ClockMs = 5'000'000;
  int PollCount = 0;
  int LongPolls = 0;
  int StartCount = 0;
  int StopCount = 0;
};

} // namespace

TEST_CASE("A VM uses a part of a runner's connections, so that several leaders "
          "can leave theirs behind",
          "[workflow]") {
  CHECK(connectionsPerVm(64) == 4);
  CHECK(connectionsPerVm(0) == 4);
  CHECK(connectionsPerVm(1024) == 64);
  CHECK(connectionsPerVm(16) == 2);
  CHECK(connectionsPerVm(8) == 2);
}

TEST_CASE("Orders state how many connections they may use, by the "
          "configuration that is in force",
          "[workflow]") {
  LedCell cell;
  const auto configure = [&](std::uint64_t version, std::uint32_t connections) {
    protocol::CellConfig config = configOf(version);
    config.mutable_pools(0)->set_max_connections(connections);
    cell.Leader.configure(
        config, [] {}, cell.Now);
    cell.pass(LedCell::SchedulingTime);
  };
  configure(2, 160);
  cell.heartbeat(runnerOf("i-1"), 1, 5'000'000);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE_FALSE(cell.Polls.empty());
  CHECK(cell.Polls.back().MaxConnections == 10);
  PollAnswer answer;
  answer.ClockMs = 5'000'030;
  cell.answerPoll(answer);
  cell.submit(Job);
  cell.pass(LedCell::SchedulingTime);
  REQUIRE(cell.Starts.size() == 1);
  // The other connection is for the long poll.
  CHECK(cell.Starts.back().MaxConnections == 9);
  configure(3, 16);
  cell.answerPoll(answer);
  CHECK(cell.Polls.back().MaxConnections == 2);
}

// Guards against tasks that stay assigned for good to a runner that answers
// polls but closes the connections of all other orders.
TEST_CASE("A stop that can't be delivered is sent again until it is, and the "
          "task is assigned anew",
          "[workflow]") {
  Fixture cell;
  cell.passFailing(Milliseconds(10'000), OrderAnswer::Disconnected);
  // The start may have arrived and still be carried out.
  CHECK(cell.isAssigned());
  CHECK(cell.task(Job).Run == 1);
  CHECK(cell.StopCount > 20);
  cell.heartbeat(runnerOf("i-2"), 1, cell.ClockMs);
  cell.passFailing(Milliseconds(500), OrderAnswer::Done);
  CHECK(cell.task(Job).Run > 1);
}

TEST_CASE("A start whose connection is closed again and again is retried with "
          "delays, and then stopped",
          "[workflow]") {
  Fixture cell;
  cell.passFailing(Milliseconds(100), OrderAnswer::Disconnected);
  CHECK(cell.StartCount == 2);
  cell.passFailing(Milliseconds(1000), OrderAnswer::Disconnected);
  CHECK(cell.StartCount == 4);
  CHECK(cell.StopCount > 0);
}

TEST_CASE("A runner that refuses connections gets work less and less often",
          "[workflow]") {
  Fixture cell;
  cell.passFailing(Milliseconds(60'000), OrderAnswer::Unreachable);
  CHECK(cell.StartCount >= 8);
  CHECK(cell.StartCount <= 12);
  // One that answers a start gets work as before.
  cell.passFailing(Milliseconds(10'000), OrderAnswer::NoRoom);
  const int before = cell.StartCount;
  cell.passFailing(Milliseconds(2000), OrderAnswer::Unreachable);
  CHECK(cell.StartCount - before >= 2);
}

TEST_CASE("Polls leave their connection to the orders of a runner that closes "
          "others",
          "[workflow]") {
  Fixture cell;
  cell.passFailing(Milliseconds(100), OrderAnswer::Disconnected);
  cell.LongPolls = 0;
  cell.PollCount = 0;
  cell.passFailing(Milliseconds(1000), OrderAnswer::Disconnected);
  CHECK(cell.LongPolls == 0);
  CHECK(cell.PollCount >= 5);
  CHECK(cell.PollCount <= 12);
}

TEST_CASE("A task whose start reached no runner is assigned elsewhere at once",
          "[workflow]") {
  Fixture cell;
  cell.heartbeat(runnerOf("i-2"), 1, cell.ClockMs);
  cell.passAnswering(Milliseconds(100));
  cell.answerStart(OrderAnswer::Unreachable);
  cell.passAnswering(Milliseconds(100));
  CHECK(cell.Starts.size() == 2);
  CHECK(cell.Starts.back().Runner == "i-2");
  CHECK(cell.Stops.empty());
}

TEST_CASE("A start that was not sent since others took too long is sent again, "
          "and then the task is assigned elsewhere",
          "[workflow]") {
  Fixture cell;
  const int attempts = 4;
  for (int i = 0; i < attempts; ++i) {
    CHECK(cell.Starts.size() == static_cast<std::size_t>(i) + 1);
    CHECK(cell.Starts.back().Run.Run == 1);
    cell.answerStart(OrderAnswer::NotSent);
  }
  cell.passAnswering(Milliseconds(100));
  CHECK(cell.Starts.back().Run.Run == 2);
  CHECK(cell.Stops.empty());
}

TEST_CASE("A start that may have arrived is stopped although its last copy was "
          "not sent",
          "[workflow]") {
  Fixture cell;
  cell.answerStart(OrderAnswer::Silent);
  for (int i = 0; i < 3; ++i) {
    cell.answerStart(OrderAnswer::NotSent);
  }
  cell.passAnswering(Milliseconds(50));
  CHECK(cell.Stops.size() == 1);
  CHECK(cell.isAssigned());
}
