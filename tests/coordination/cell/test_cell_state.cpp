#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/coordination/cell/spec_validation.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/cell/commands.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using cell::CellState;

TEST_CASE("The second of two changes based on the same version gets a conflict",
          "[cell]") {
  CellState state;
  REQUIRE(state.apply(putProfile("sheet", 0)).version() == 1);

  CHECK(state.apply(from(putProfile("sheet", 1, 5), "coulee", "a")).code() ==
        protocol::ACCEPTED);
  const auto second =
      state.apply(from(putProfile("sheet", 1, 9), "kitakaze", "a"));
  CHECK(second.code() == protocol::CONFLICT);
  CHECK(second.version() == 2);
}

TEST_CASE("A resent command gets the first result again", "[cell]") {
  CellState state;
  const auto command = from(putProfile("sheet", 0), "coulee", "id-1");
  const auto first = state.apply(command);
  auto resent = command;
  resent.set_at_unix_ms(99);

  CHECK(state.apply(resent).SerializeAsString() == first.SerializeAsString());
  CHECK(state.configuration().revision() == 1);
}

TEST_CASE("A resent command is recognized after a snapshot is restored",
          "[cell]") {
  CellState state;
  const auto command = from(putProfile("sheet", 0), "coulee", "id-1");
  const auto first = state.apply(command);
  CellState restored;
  restored.restore(state.snapshot());

  CHECK(restored.apply(command).SerializeAsString() ==
        first.SerializeAsString());
  CHECK(restored.snapshot().SerializeAsString() ==
        state.snapshot().SerializeAsString());
}

TEST_CASE("Reuse of a request id for another command is refused", "[cell]") {
  CellState state;
  state.apply(from(putProfile("sheet", 0), "coulee", "id-1"));

  CHECK(state.apply(from(putProfile("sheet", 1), "coulee", "id-1")).code() ==
        protocol::REQUEST_ID_REUSED);
}

TEST_CASE("Equal request ids of different operators don't collide", "[cell]") {
  CellState state;
  state.apply(from(putProfile("sheet", 0), "coulee", "id-1"));

  CHECK(state.apply(from(putProfile("sheet", 1), "kitakaze", "id-1")).code() ==
        protocol::ACCEPTED);
}

TEST_CASE("A late change does not restore a retired profile", "[cell]") {
  CellState state;
  state.apply(putProfile("sheet", 0));
  REQUIRE(state.apply(retireProfile("sheet", 1)).version() == 2);

  CHECK(state.apply(putProfile("sheet", 1)).code() == protocol::CONFLICT);
  protocol::Command any = putProfile("sheet", 0);
  any.mutable_put_profile()->set_any_version(true);
  CHECK(state.apply(any).code() == protocol::RETIRED);
  CHECK(state.apply(putProfile("sheet", 2)).version() == 3);
}

TEST_CASE("Invalid profiles are refused with the name of the field", "[cell]") {
  CellState state;
  protocol::Command heavy = putProfile("sheet", 0, cell::MaxWeight + 1);
  CHECK(state.apply(heavy).field() == "requests.weight");
  CHECK(state.apply(putProfile("two words", 0)).field() == "name");
  protocol::Command hedged = putProfile("sheet", 0);
  hedged.mutable_put_profile()
      ->mutable_spec()
      ->mutable_requests()
      ->set_hedge_after_ms(5);
  CHECK(state.apply(hedged).field() == "requests.hedge_after_ms");
  CHECK(state.configuration().revision() == 0);
}

TEST_CASE("A late announcement does not undo a leave", "[cell][upstreams]") {
  CellState state;
  state.apply(announce("runner", 5));
  state.apply(leave("runner", 5));

  CHECK(state.apply(announce("runner", 5)).code() == protocol::STALE);
  CHECK(state.apply(announce("runner", 4)).code() == protocol::STALE);
  CHECK(state.apply(announce("runner", 6)).code() == protocol::ACCEPTED);
  CHECK(state.apply(leave("runner", 5)).code() == protocol::STALE);
}

TEST_CASE("A leave that arrives before the announcement takes effect",
          "[cell][upstreams]") {
  CellState state;
  state.apply(leave("runner", 5));
  CHECK(state.apply(announce("runner", 5)).code() == protocol::STALE);
}

TEST_CASE("A lapsed upstream may announce itself again", "[cell][upstreams]") {
  CellState state;
  state.apply(announce("runner", 5));
  state.apply(leave("runner", 5, true));
  REQUIRE(state.configuration().present(cell::ConfigKind::Upstream).empty());

  CHECK(state.apply(announce("runner", 5)).code() == protocol::ACCEPTED);
  CHECK(state.configuration().present(cell::ConfigKind::Upstream).size() == 1);
}

TEST_CASE("Invalid jobs are refused with the name of the field and not stored",
          "[cell][jobs]") {
  CellState state;
  protocol::Command put = putProfile("gang", 0);
  protocol::TaskPolicy *tasks =
      put.mutable_put_profile()->mutable_spec()->mutable_tasks();
  tasks->set_kind(protocol::GANG);
  tasks->mutable_resources()->set_milli_processors(1000);
  tasks->mutable_resources()->set_memory_mib(64);
  REQUIRE(state.apply(put).code() == protocol::ACCEPTED);
  protocol::Command job;
  protocol::JobSpec *spec = job.mutable_submit_job()->mutable_spec();
  spec->set_profile("gang");

  spec->set_tasks(1'000'000);
  CHECK(state.apply(job).field() == "tasks");
  spec->set_tasks(2);
  spec->set_team("nobody");
  CHECK(state.apply(job).field() == "team");
  spec->clear_team();
  spec->mutable_overrides()->mutable_resources()->set_memory_mib(-1);
  CHECK(state.apply(job).field() == "tasks.resources.memory_mib");
  CHECK(state.jobs().empty());
  spec->clear_overrides();
  CHECK(state.apply(job).job() == "job-1");
}
