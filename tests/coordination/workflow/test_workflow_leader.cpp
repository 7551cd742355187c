#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const Moment Start{SteadyTime{std::chrono::seconds(100)}, 100'000};

/// A state with a configuration and so many runners.
WorkflowState stateWith(int runners) {
  WorkflowState state;
  protocol::WorkflowChange configured;
  *configured.mutable_configure() = configOf(1);
  state.apply(configured);
  for (int i = 0; i < runners; ++i) {
    protocol::WorkflowChange known;
    *known.mutable_runner()->mutable_runner() =
        runnerOf("i-" + std::to_string(i));
    state.apply(known);
  }
  return state;
}

/// A submission of one task.
protocol::WorkflowCall submission(const std::string &id) {
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/" + id);
  *call.mutable_submit() = specOf(id, {stepOf(1)});
  return call;
}

/// Hands in some submissions; gives how many were accepted and how many
/// refused.
std::pair<int, int> submitTo(WorkflowLeader &leader, int submissions) {
  int refused = 0;
  for (int i = 0; i < submissions; ++i) {
    leader.call(
        submission("000000000000000" + std::to_string(i)),
        [&refused](const protocol::WorkflowAnswer &answer) {
          refused += answer.verdict() == protocol::VERDICT_REFUSED ? 1 : 0;
        },
        Start);
  }
  int accepted = 0;
  for (const ProposedBatch &batch : leader.takeEffects(Start).Batches) {
    for (const protocol::WorkflowChange &it : batch.Record.changes()) {
      accepted += it.has_accept() ? 1 : 0;
    }
  }
  return {accepted, refused};
}

} // namespace

TEST_CASE("A new leader accepts work before its first look at the runners",
          "[workflow]") {
  const WorkflowState state = stateWith(2);
  WorkflowLeader leader({}, state, Start);
  leader.takeEffects(Start);
  const auto [accepted, refused] = submitTo(leader, 5);
  CHECK(accepted == 5);
  CHECK(refused == 0);
}

TEST_CASE("Work is refused when there is no runner for it", "[workflow]") {
  const WorkflowState state = stateWith(0);
  WorkflowLeader leader({}, state, Start);
  leader.takeEffects(Start);
  const auto [accepted, refused] = submitTo(leader, 5);
  CHECK(accepted == 0);
  CHECK(refused == 5);
}
