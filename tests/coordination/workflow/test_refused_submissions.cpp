#include "masticwinch/coordination/workflow/refused_submissions.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};
constexpr const char *Job = "00000000000000a1";
constexpr const char *Newcomer = "00000000000000a2";

/// Work ahead that takes `ms` on one core, for a submission that can't wait.
LoadAhead loadOf(std::uint64_t ms) { return {ms, 1000, Milliseconds(0)}; }

/// Turns of which all were taken, so that their whole work is kept room for.
RefusedSubmissions takenTurns(RefusedSubmissionsOptions options = {}) {
  options.ShareWeightPermille = 1000;
  RefusedSubmissions turns(options);
  turns.add({"first", 0, 1}, Start);
  turns.take("first");
  return turns;
}

/// A cell with one runner of 32 cores and more accepted work than is on time,
/// none of which runs.
struct FullCell : LedCell {
  FullCell() {
    heartbeat(runnerOf("r"), 1, 1);
    for (const char *id : {"00000000000000f1", "00000000000000f2"}) {
      REQUIRE(trySubmit(id, 3000, 51).verdict() == protocol::VERDICT_OK);
      pass(SchedulingTime);
    }
  }

  /// Submits a job of one core-second per task; returns the answer.
  protocol::WorkflowAnswer trySubmit(const std::string &id,
                                     std::uint32_t timeoutMs = 3000,
                                     std::uint32_t tasks = 10) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    call.set_timeout_ms(timeoutMs);
    *call.mutable_submit() = specOf(id, {stepOf(tasks)});
    protocol::WorkflowAnswer answer;
    Leader.call(
        call, [&](const protocol::WorkflowAnswer &it) { answer = it; }, Now);
    pass(Milliseconds(0));
    return answer;
  }
};

Milliseconds retryOf(const protocol::WorkflowAnswer &answer) {
  return Milliseconds(answer.retry_after_ms());
}

} // namespace

TEST_CASE("A turn doesn't move when its submission returns early",
          "[workflow]") {
  RefusedSubmissions turns;
  const TurnRequest request{"job", 0, 100};
  REQUIRE(turns.add(request, Start + Milliseconds(500)));
  CHECK(turns.untilTurn(request, Start) == Milliseconds(500));
  CHECK(turns.untilTurn(request, Start + Milliseconds(400)) ==
        Milliseconds(100));
  CHECK(turns.untilTurn(request, Start + Milliseconds(490)) == Milliseconds(0));
  CHECK(turns.untilTurn(request, Start + Milliseconds(1500)) ==
        Milliseconds(0));
}

TEST_CASE("A turn ends when it was taken, and after its grace", "[workflow]") {
  const RefusedSubmissionsOptions options;
  RefusedSubmissions turns(options);
  turns.add({"taken", 0, 100}, Start);
  turns.add({"lapsed", 0, 100}, Start);
  turns.take("taken");
  CHECK_FALSE(turns.untilTurn({"taken", 0, 100}, Start));
  turns.expire(Start + options.Grace);
  CHECK(turns.untilTurn({"lapsed", 0, 100}, Start + options.Grace));
  turns.expire(Start + options.Grace + Milliseconds(1));
  CHECK(turns.size() == 0);
}

TEST_CASE("A turn is not for more work or another priority", "[workflow]") {
  RefusedSubmissions turns;
  turns.add({"job", 1, 100}, Start);
  CHECK(turns.untilTurn({"job", 1, 100}, Start));
  CHECK_FALSE(turns.untilTurn({"job", 1, 101}, Start));
  CHECK_FALSE(turns.untilTurn({"job", 0, 100}, Start));
}

TEST_CASE("Jobs without an estimate hold turns, too", "[workflow]") {
  RefusedSubmissions turns;
  turns.add({"one", 0, 0}, Start);
  turns.add({"two", 0, 0}, Start);
  turns.take("one");
  CHECK(turns.untilTurn({"two", 0, 0}, Start));
  turns.expire(Start + std::chrono::seconds(10));
  CHECK(turns.size() == 0);
}

TEST_CASE("The number of turns is bounded", "[workflow]") {
  RefusedSubmissionsOptions options;
  options.MaxTurns = 2;
  RefusedSubmissions turns(options);
  CHECK(turns.add({"one", 0, 1}, Start));
  CHECK(turns.add({"two", 0, 1}, Start));
  CHECK_FALSE(turns.add({"three", 0, 1}, Start));
  CHECK(turns.add({"two", 0, 1}, Start));
}

TEST_CASE("Turns follow one another at the rate at which work ends",
          "[workflow]") {
  RefusedSubmissions turns = takenTurns();
  Milliseconds last{0};
  for (int i = 0; i < 10; ++i) {
    const Milliseconds room = turns.untilRoom(0, loadOf(300), Start);
    CHECK(room == Milliseconds(300 + i * 200));
    CHECK(room > last);
    last = room;
    turns.add({std::to_string(i), 0, 200}, Start + room);
  }
}

TEST_CASE("Room that is free before the next turn is given to others",
          "[workflow]") {
  RefusedSubmissions turns = takenTurns();
  turns.add({"later", 0, 5000}, Start + Milliseconds(2000));
  CHECK(turns.untilRoom(0, loadOf(0), Start) == Milliseconds(0));
  CHECK(turns.untilRoom(0, loadOf(500), Start) == Milliseconds(500));
  CHECK(turns.untilRoom(0, loadOf(2500), Start) == Milliseconds(7500));
}

TEST_CASE("A turn is ahead of its own and later priorities only",
          "[workflow]") {
  RefusedSubmissions turns = takenTurns();
  turns.add({"job", 1, 1000}, Start);
  CHECK(turns.untilRoom(0, loadOf(0), Start) == Milliseconds(0));
  CHECK(turns.untilRoom(1, loadOf(0), Start) == Milliseconds(1000));
  CHECK(turns.untilRoom(2, loadOf(0), Start) == Milliseconds(1000));
}

TEST_CASE("Less room is kept for turns once callers don't return",
          "[workflow]") {
  RefusedSubmissions turns;
  for (int i = 0; i < 300; ++i) {
    turns.add({std::to_string(i), 0, 100}, Start);
  }
  turns.expire(Start + std::chrono::seconds(10));
  REQUIRE(turns.size() == 0);
  const SteadyTime later = Start + std::chrono::seconds(20);
  turns.add({"job", 0, 1000}, later);
  CHECK(turns.untilRoom(0, loadOf(0), later) < Milliseconds(100));
}

TEST_CASE("A refused job that returns at its turn is accepted, and a newcomer "
          "isn't",
          "[workflow]") {
  FullCell cell;
  const auto first = cell.trySubmit(Job);
  REQUIRE(first.verdict() == protocol::VERDICT_REFUSED);
  cell.pass(retryOf(first));
  CHECK(cell.trySubmit(Newcomer).verdict() == protocol::VERDICT_REFUSED);
  CHECK(cell.trySubmit(Job).verdict() == protocol::VERDICT_OK);
}

TEST_CASE("A refused job that returns early is told the time that remains",
          "[workflow]") {
  FullCell cell;
  const auto first = cell.trySubmit(Job);
  REQUIRE(first.verdict() == protocol::VERDICT_REFUSED);
  for (int i = 1; i <= 10; ++i) {
    cell.pass(Milliseconds(10));
    const auto again = cell.trySubmit(Job);
    CHECK(again.verdict() == protocol::VERDICT_REFUSED);
    CHECK(retryOf(again) == retryOf(first) - Milliseconds(10 * i));
  }
  CHECK(retryOf(cell.trySubmit(Newcomer)) > retryOf(first));
}

TEST_CASE("A job that can't return at its turn gets none", "[workflow]") {
  FullCell cell;
  const auto first = cell.trySubmit(Job, 200);
  REQUIRE(first.verdict() == protocol::VERDICT_REFUSED);
  cell.pass(retryOf(first));
  CHECK(cell.trySubmit(Job, 200).verdict() == protocol::VERDICT_REFUSED);
}

TEST_CASE("A turn doesn't let in a job while nothing can be stored",
          "[workflow]") {
  FullCell cell;
  const auto first = cell.trySubmit(Job);
  REQUIRE(first.verdict() == protocol::VERDICT_REFUSED);
  cell.Leader.setLogRefusal("full");
  cell.pass(retryOf(first));
  CHECK(cell.trySubmit(Job).reason() == "nothing can be stored");
  cell.Leader.setLogRefusal("");
  CHECK(cell.trySubmit(Job).verdict() == protocol::VERDICT_OK);
}
