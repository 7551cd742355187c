#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint32_t Cores = 32;
constexpr std::size_t Submissions = 200;

/// Workflows of one core-second that can wait for the slack of two seconds and
/// be on time, and the one that is let in when all of it is used.
constexpr std::size_t MostOnTime = 2 * Cores + 1;

std::string idOf(std::size_t number) {
  return std::to_string(1'000'000'000'000'000 + number);
}

/// Submits workflows of one task and counts the refusals.
std::size_t refusalsOf(WorkflowLeader &leader, std::size_t first, Moment at) {
  std::size_t refusals = 0;
  for (std::size_t i = first; i < first + Submissions; ++i) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + idOf(i));
    *call.mutable_submit() = specOf(idOf(i), {stepOf(1)});
    leader.call(
        call,
        [&refusals](const protocol::WorkflowAnswer &answer) {
          refusals += answer.verdict() == protocol::VERDICT_REFUSED ? 1 : 0;
        },
        at);
  }
  return refusals;
}

/// A cell with one runner, whose capacity the leader knows.
struct OneRunner : LedCell {
  OneRunner() {
    heartbeat(runnerOf("r-0"), 1, 1);
    pass(SchedulingTime);
    PollAnswer answer;
    answer.ClockMs = 1;
    answerPoll(answer);
  }
};

} // namespace

// Between two scheduling passes any number was let in: each was judged by the
// work that had waited at the last pass.
TEST_CASE("Submissions that arrive together are let in only as far as all of "
          "them can be on time",
          "[workflow]") {
  OneRunner cell;
  CHECK(refusalsOf(cell.Leader, 0, cell.Now) >= Submissions - MostOnTime);
}

TEST_CASE("Submissions count as work ahead while they are being stored",
          "[workflow]") {
  OneRunner cell;
  CHECK(refusalsOf(cell.Leader, 0, cell.Now) >= Submissions - MostOnTime);
  // A pass, before anything is stored.
  cell.Now.Now += LedCell::SchedulingTime;
  cell.Leader.tick(cell.Now);
  CHECK(refusalsOf(cell.Leader, Submissions, cell.Now) == Submissions);
}

TEST_CASE("Submissions that are stored make room again once they have started",
          "[workflow]") {
  OneRunner cell;
  const std::size_t first = Submissions - refusalsOf(cell.Leader, 0, cell.Now);
  // The first pass stores them.
  cell.pass(LedCell::SchedulingTime);
  cell.pass(LedCell::SchedulingTime);
  const std::size_t then =
      Submissions - refusalsOf(cell.Leader, Submissions, cell.Now);
  CHECK(cell.Starts.size() == Cores);
  CHECK(then >= Cores - 1);
  CHECK(first + then <= MostOnTime + Cores + 1);
}
