#include <catch2/catch.hpp>

#include "tests/coordination/workflow/capped_cell.hpp"
#include <string>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr Milliseconds Soon{150};

std::int64_t coresOfNorth(const CappedCell &cell) {
  return cell.Leader.runners().usedBy("north").MilliProcessors / 1000;
}

protocol::WorkflowChange acceptAs(const std::string &account,
                                  const protocol::WorkflowSpec &spec) {
  protocol::WorkflowChange change = acceptOf(spec);
  change.mutable_accept()->set_account(account);
  return change;
}

} // namespace

// Guards against an account that runs more than its cap, and against one
// without a cap that is limited.
TEST_CASE("An account runs no more than its cap", "[workflow]") {
  CappedCell cell(2, CappedCell::processors(5));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(3)});
  cell.submitAs("north", "w2", {stepOf(4)});
  cell.submitAs("south", "s", {stepOf(9)});
  cell.advance(Soon);
  CHECK(coresOfNorth(cell) == 5);
  CHECK(cell.runningOf("w1") + cell.runningOf("w2") == 5);
  CHECK(cell.runningOf("s") == 9);
  cell.endRunsOf("w1", 1);
  cell.advance(Soon);
  CHECK(cell.startsOf("w1") + cell.startsOf("w2") == 6);
  CHECK(coresOfNorth(cell) == 5);
}

// Guards against runs on a lost runner that are taken for ended before the
// runner has certainly stopped them.
TEST_CASE("The runs of a lost runner count until its lease is over",
          "[workflow]") {
  CappedCell cell(2, CappedCell::processors(2));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(2)});
  cell.advance(Soon);
  REQUIRE(cell.runningOf("w1") == 2);
  cell.Silent = {cell.Starts[0].Runner, cell.Starts[1].Runner};
  REQUIRE(cell.Silent.size() == 1);
  cell.submitAs("north", "w2", {stepOf(2)});
  cell.advance(Milliseconds(3000));
  CHECK(cell.startsOf("w2") == 0);
  CHECK(cell.startsOf("w1") == 2);
  CHECK(coresOfNorth(cell) == 2);
  cell.advance(Milliseconds(3000));
  CHECK(cell.startsOf("w2") + cell.startsOf("w1") == 4);
  CHECK(coresOfNorth(cell) == 2);
}

// Guards against a start that a runner may carry out late and that is counted
// no more.
TEST_CASE("A start without an answer counts until it is stopped for sure",
          "[workflow]") {
  CappedCell cell(3, CappedCell::processors(2));
  cell.advance(Soon);
  cell.LosesStartAnswers = true;
  cell.LosesStops = true;
  cell.submitAs("north", "w1", {stepOf(2)});
  cell.advance(Soon);
  REQUIRE(cell.startsOf("w1") >= 2);
  cell.LosesStartAnswers = false;
  cell.submitAs("north", "w2", {stepOf(2)});
  cell.advance(Milliseconds(5000));
  CHECK(coresOfNorth(cell) == 2);
  CHECK(cell.startsOf("w2") == 0);
  cell.LosesStops = false;
  cell.advance(Milliseconds(3000));
  CHECK(cell.runningOf("w1") + cell.runningOf("w2") == 2);
  CHECK(coresOfNorth(cell) == 2);
}

// Guards against a change of cap that interrupts work, and against one that
// takes effect late.
TEST_CASE("A lowered cap starts and stops nothing and a raised one works at "
          "once",
          "[workflow]") {
  CappedCell cell(2, CappedCell::processors(4));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(4)});
  cell.advance(Soon);
  REQUIRE(cell.runningOf("w1") == 4);
  cell.submitAs("north", "w2", {stepOf(4)});
  cell.setCap(CappedCell::processors(2));
  cell.endRunsOf("w1", 2);
  cell.advance(Soon);
  CHECK(cell.runningOf("w1") == 2);
  CHECK(cell.startsOf("w2") == 0);
  CHECK(cell.Stops.empty());
  cell.setCap(CappedCell::processors(6));
  cell.advance(Soon);
  CHECK(cell.runningOf("w2") == 4);
}

// Guards against a new leader that starts work in the room of a run which the
// former leader assigned and a runner may be about to start.
TEST_CASE("A run that an earlier leader assigned counts below the cap",
          "[workflow]") {
  WorkflowState state = CappedCell::stateOf(2, CappedCell::processors(1));
  state.apply(acceptAs("north", specOf(CappedCell::idOf("w1"), {stepOf(1)})));
  state.apply(assignOf({{CappedCell::idOf("w1"), 0, 0}, 0}, 1, "i-0"));
  CappedCell cell(std::move(state));
  cell.Silent = {"i-0"};
  cell.submitAs("north", "w2", {stepOf(1)});
  cell.advance(Milliseconds(2500));
  CHECK(coresOfNorth(cell) == 1);
  CHECK(cell.Starts.empty());
  cell.advance(Milliseconds(3000));
  CHECK(cell.Starts.size() == 1);
}

// Guards against a dropped account whose accepted work runs without a limit.
TEST_CASE("The last cap of a dropped account holds for its accepted work",
          "[workflow]") {
  CappedCell cell(2, CappedCell::processors(2));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(6)});
  cell.advance(Soon);
  protocol::CellConfig config = cell.State.config();
  config.set_version(config.version() + 1);
  config.mutable_accounts()->DeleteSubrange(0, 1);
  cell.configure(config);
  cell.advance(Soon);
  CHECK(cell.startsOf("w1") == 2);
  cell.endRunsOf("w1", 2);
  cell.advance(Soon);
  CHECK(cell.startsOf("w1") == 4);
  CHECK(coresOfNorth(cell) == 2);
}

// Guards against recurring work that loses the cap of its dropped account while
// it has no occurrence.
TEST_CASE("A recurring workflow keeps its account between its occurrences",
          "[workflow]") {
  WorkflowState state = CappedCell::stateOf(1, CappedCell::processors(2));
  protocol::WorkflowSpec spec = specOf("w", {stepOf(1)});
  spec.set_repeats(3);
  spec.set_first_at_unix_ms(1'000'000);
  spec.set_interval_ms(100);
  state.apply(acceptAs("north", spec));
  REQUIRE(state.find("w")->Occurrences.empty());
  protocol::CellConfig config = state.config();
  config.set_version(config.version() + 1);
  config.clear_accounts();
  protocol::WorkflowChange change;
  *change.mutable_configure() = config;
  state.apply(change);
  REQUIRE(state.findAccount("north"));
  CHECK(state.findAccount("north")->cap().milli_processors() == 2000);
}

// Guards against a gang that exceeds the cap, starts in part, or is kept out by
// a cap that it just fits.
TEST_CASE("A gang at the edge of the cap waits until it fits whole",
          "[workflow]") {
  CappedCell cell(2, CappedCell::processors(4));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(1)});
  cell.advance(Soon);
  cell.submitAs("north", "g", {stepOf(4, true)});
  cell.advance(Soon);
  CHECK(cell.startsOf("g") == 0);
  cell.endRunsOf("w1", 1);
  cell.advance(Soon);
  CHECK(cell.startsOf("g") == 4);
}

// Guards against room on runners that stands idle for a gang which its own
// account keeps from starting.
TEST_CASE("A gang that does not fit below its cap holds no room on runners",
          "[workflow]") {
  CappedCell cell(1, CappedCell::processors(32));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(1)});
  cell.advance(Soon);
  cell.submitAs("north", "g", {stepOf(32, true)});
  cell.advance(Soon);
  cell.submitAs("south", "s", {stepOf(31)});
  cell.advance(Soon);
  CHECK(cell.runningOf("s") == 31);
  CHECK(cell.startsOf("g") == 0);
}

// Guards against a gang that gathers room, whose account then uses up its cap.
TEST_CASE("A gang keeps its room below the cap while it gathers room on "
          "runners",
          "[workflow]") {
  CappedCell cell(1, CappedCell::processors(20));
  cell.advance(Soon);
  cell.submitAs("south", "s", {stepOf(20)});
  cell.advance(Soon);
  cell.submitAs("north", "g", {stepOf(20, true)});
  cell.advance(Soon);
  cell.endRunsOf("s", 20);
  cell.submitAs("north", "w", {stepOf(12)});
  cell.advance(Soon);
  CHECK(cell.startsOf("g") == 20);
  CHECK(cell.startsOf("w") == 0);
}

// Guards against work that can never run and is accepted.
TEST_CASE("A submission that can never fit below its cap is refused",
          "[workflow]") {
  CappedCell cell(2, CappedCell::processors(4));
  cell.advance(Soon);
  const auto gang = cell.submitAs("north", "g", {stepOf(5, true)});
  CHECK(gang.verdict() == protocol::VERDICT_REFUSED);
  CHECK(gang.reason() == "wider than its account's limit");
  protocol::StepSpec large = stepOf(1);
  large.mutable_needs()->set_milli_processors(4001);
  CHECK(cell.submitAs("north", "l", {large}).reason() ==
        "wider than its account's limit");
  CHECK(cell.submitAs("north", "e", {stepOf(4, true)}).verdict() ==
        protocol::VERDICT_OK);
  CHECK(cell.submitAs("north", "w", {stepOf(5)}).verdict() ==
        protocol::VERDICT_OK);
  CHECK(cell.submitAs("south", "s", {stepOf(5, true)}).verdict() ==
        protocol::VERDICT_OK);
  CHECK(cell.State.find(CappedCell::idOf("e"))->Account == "north");
}

// Guards against a cap for each queue.
TEST_CASE("Two queues of an account share its cap", "[workflow]") {
  CappedCell cell(2, CappedCell::processors(4));
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(3)}, "sheets");
  cell.submitAs("north", "w2", {stepOf(3)}, "charts");
  cell.advance(Soon);
  CHECK(cell.runningOf("w1") + cell.runningOf("w2") == 4);
}

// Guards against waiting steps of an account at its cap that take all places of
// the scheduling passes.
TEST_CASE("Hundreds of steps of an account at its cap keep no others from "
          "being tried",
          "[workflow]") {
  WorkflowState state = CappedCell::stateOf(2, CappedCell::processors(1));
  for (int i = 0; i < 1500; ++i) {
    state.apply(
        acceptAs("north", specOf(CappedCell::idOf("w" + std::to_string(i)),
                                 {stepOf(1)})));
  }
  CappedCell cell(std::move(state));
  cell.advance(Soon);
  REQUIRE(coresOfNorth(cell) == 1);
  cell.submitAs("south", "z", {stepOf(1)});
  const std::size_t before = cell.Starts.size();
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.startsOf("z") == 1);
  CHECK(cell.Starts.size() == before + 1);
}

// Guards against a limit that holds for processors only.
TEST_CASE("Each of the three resources has its own limit", "[workflow]") {
  protocol::Amounts memory;
  memory.set_memory_mb(3 * 1024);
  CappedCell cell(2, memory);
  cell.advance(Soon);
  cell.submitAs("north", "w1", {stepOf(9)});
  cell.advance(Soon);
  CHECK(cell.runningOf("w1") == 3);

  protocol::Amounts accelerators;
  accelerators.set_accelerators(2);
  WorkflowState state = CappedCell::stateOf(2, accelerators);
  protocol::WorkflowChange change;
  *change.mutable_runner()->mutable_runner() = runnerOf("i-0");
  change.mutable_runner()
      ->mutable_runner()
      ->mutable_capacity()
      ->set_accelerators(8);
  state.apply(change);
  CappedCell other(std::move(state));
  other.advance(Soon);
  protocol::StepSpec step = stepOf(5);
  step.mutable_needs()->set_accelerators(1);
  other.submitAs("north", "w1", {step});
  other.submitAs("north", "w2", {stepOf(7)});
  other.advance(Soon);
  CHECK(other.runningOf("w1") == 2);
  CHECK(other.runningOf("w2") == 7);
}

// Guards against an account at its cap whose waiting work has other accounts
// refused, and against work of the account that is accepted and ends late.
TEST_CASE("Waiting work of an account at its cap delays only the account",
          "[workflow]") {
  CappedCell cell(1, CappedCell::processors(1));
  cell.advance(Soon);
  std::size_t accepted = 0;
  protocol::WorkflowAnswer refused;
  for (int i = 0; i < 200; ++i) {
    const auto answer =
        cell.submitAs("north", "w" + std::to_string(i), {stepOf(1)});
    cell.advance(LedCell::SchedulingTime);
    if (answer.verdict() == protocol::VERDICT_OK) {
      ++accepted;
    } else {
      refused = answer;
    }
  }
  CHECK(accepted == 3);
  CHECK(refused.verdict() == protocol::VERDICT_REFUSED);
  CHECK(refused.reason() == "would end late");
  CHECK(refused.retry_after_ms() > 0);
  CHECK(cell.submitAs("south", "s", {stepOf(31)}).verdict() ==
        protocol::VERDICT_OK);
  cell.advance(Soon);
  CHECK(cell.runningOf("s") == 31);
}
