#include <catch2/catch.hpp>

#include "tests/coordination/workflow/keyed_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr auto Ok = protocol::VERDICT_OK;
constexpr auto NoWorkflow = protocol::VERDICT_NO_WORKFLOW;
constexpr auto NotAnswered = protocol::WORKFLOW_VERDICT_UNSPECIFIED;

} // namespace

// Guards against callers that read or cancel what is not theirs, and against
// answers that tell them that it exists.
TEST_CASE("Another account gets the answer for an unknown id", "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.store();
  for (const char *prefix : {"/sheets/", "/notes/"}) {
    CAPTURE(prefix);
    const auto state = cell.state("south-1", First, prefix);
    const auto unknown = cell.state("south-1", Second, prefix);
    CHECK(state->verdict() == NoWorkflow);
    CHECK(state->SerializeAsString() == unknown->SerializeAsString());
    const auto cancelled = cell.cancel("south-1", First, prefix);
    CHECK(cancelled->verdict() == NoWorkflow);
    CHECK(cancelled->SerializeAsString() ==
          cell.cancel("south-1", Second, prefix)->SerializeAsString());
  }
  CHECK(cell.state("", First, "/notes/")->verdict() == NoWorkflow);
  CHECK(cell.Proposed.empty());
  CHECK(cell.state("north-2", First)->verdict() == Ok);
}

TEST_CASE("A submission with the id of another account's workflow is invalid",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.store();
  const auto answer = cell.submit("south-1", First);
  CHECK(answer->verdict() == protocol::VERDICT_INVALID);
  CHECK(answer->reason() == "the id is in use");
  CHECK(cell.submit("", First, "/notes/")->verdict() ==
        protocol::VERDICT_INVALID);
  CHECK(cell.Proposed.empty());
  CHECK(cell.State.find(First)->Account == "north");
}

// Guards against a second run of a job whose caller changes its key between
// two attempts.
TEST_CASE("A submission that is sent again under another key of its account is "
          "the same workflow",
          "[workflow]") {
  KeyedCell cell;
  const auto first = cell.submit("north-1", First);
  const auto second = cell.submit("north-2", First);
  cell.store();
  CHECK(first->verdict() == Ok);
  CHECK(second->verdict() == Ok);
  const auto third = cell.submit("north-2", First);
  CHECK(third->verdict() == Ok);
  CHECK(third->reason() == "accepted before");
  CHECK(cell.Proposed.empty());
  CHECK(cell.cancel("north-2", First)->verdict() == NotAnswered);
}

TEST_CASE("A submission that is being stored belongs to its account",
          "[workflow]") {
  KeyedCell cell;
  const auto first = cell.submit("north-1", First);
  CHECK(cell.submit("south-1", First)->verdict() == protocol::VERDICT_INVALID);
  CHECK(cell.cancel("south-1", First)->verdict() == NoWorkflow);
  cell.store();
  CHECK(first->verdict() == Ok);
  CHECK(cell.State.find(First)->CurrentPhase != Phase::Cancelled);
}

TEST_CASE("A workflow without an account is open to every caller of a queue",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("", First, "/notes/");
  cell.store();
  CHECK(cell.state("", First, "/notes/")->verdict() == Ok);
  CHECK(cell.state("south-1", First, "/notes/")->verdict() == Ok);
  CHECK(cell.submit("north-1", First, "/notes/")->reason() ==
        "accepted before");
  const auto cancelled = cell.cancel("north-1", First);
  cell.store();
  CHECK(cancelled->verdict() == Ok);
}

// Guards against ownership that is lost with the memory of a leader.
TEST_CASE("A leader that takes over knows the owners of workflows",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.store();
  cell.newLeader();
  CHECK(cell.state("south-1", First)->verdict() == NoWorkflow);
  CHECK(cell.submit("south-1", First)->verdict() == protocol::VERDICT_INVALID);
  CHECK(cell.submit("north-2", First)->reason() == "accepted before");

  WorkflowState restored;
  restored.restore(cell.State.snapshot());
  KeyedCell other(std::move(restored));
  CHECK(other.state("south-1", First)->verdict() == NoWorkflow);
  CHECK(other.state("north-1", First)->verdict() == Ok);
  CHECK(other.submit("wrong", Second)->verdict() ==
        protocol::VERDICT_UNAUTHENTICATED);
}

// A leader may propose a submission that a former leader has already stored:
// the record of the former leader, which comes first in the log, counts.
TEST_CASE("A caller is not told that its submission was accepted when the id "
          "was stored for another account first",
          "[workflow]") {
  KeyedCell cell;
  const auto answer = cell.submit("south-1", First);
  protocol::WorkflowChange earlier = acceptOf(specOf(First, {stepOf(1)}));
  earlier.mutable_accept()->set_account("north");
  cell.State.apply(earlier);
  cell.store();
  CHECK(answer->verdict() == protocol::VERDICT_INVALID);
  CHECK(cell.State.find(First)->Account == "north");
}

// Its caller was told that it would run.
TEST_CASE("Accepted work of an account that is dropped goes on, and is its own "
          "again when the account returns",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.store();
  protocol::CellConfig dropped = configOf(2);
  addAccount(dropped, "south", {"south-1", "north-1"});
  cell.configure(dropped);
  cell.store();
  CHECK(cell.State.find(First)->CurrentPhase != Phase::Cancelled);
  CHECK(cell.Leader->openStepCount() == 1);
  CHECK(cell.state("north-1", First)->verdict() == NoWorkflow);
  cell.configure(keyedConfig(3));
  cell.store();
  CHECK(cell.state("north-1", First)->verdict() == Ok);
}

// Guards against jobs that nobody can read or cancel any more.
TEST_CASE("A cell that drops its list of accounts opens all workflows",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.store();
  cell.configure(configOf(2));
  cell.store();
  CHECK(cell.state("", First)->verdict() == Ok);
  CHECK(cell.submit("", First)->reason() == "accepted before");
}
