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

namespace {

/// Stores and applies what a leader proposed, in order.
void storeAll(WorkflowState &state, WorkflowLeader &leader,
              const std::vector<ProposedBatch> &batches, Moment at) {
  for (const ProposedBatch &it : batches) {
    state.apply(it.Record);
    leader.stored(it, at);
  }
}

/// Answers a runner's first look, so that it gets work.
void adopt(WorkflowLeader &leader, const WorkflowEffects &effects, Moment at) {
  for (const LookOrder &it : effects.Looks) {
    LookAnswer answer;
    answer.Answer = OrderAnswer::Done;
    leader.lookAnswered(it, answer, at);
  }
}

Moment after(Milliseconds time) {
  return {Start.Now + time, Start.UnixMs + std::uint64_t(time.count())};
}

} // namespace

TEST_CASE("An occurrence that begins after its workflow was cancelled ends no "
          "process",
          "[workflow]") {
  const std::string id = "000000000000000a";
  WorkflowState state = stateWith(1);
  WorkflowLeader leader({}, state, Start);
  leader.tick(Start);
  adopt(leader, leader.takeEffects(Start), Start);

  protocol::WorkflowCall timed = submission(id);
  timed.mutable_submit()->set_repeats(2);
  timed.mutable_submit()->set_first_at_unix_ms(Start.UnixMs);
  timed.mutable_submit()->set_interval_ms(100);
  leader.call(
      timed, [](const protocol::WorkflowAnswer &) {}, Start);
  storeAll(state, leader, leader.takeEffects(Start).Batches, Start);
  leader.tick(Start);
  storeAll(state, leader, leader.takeEffects(Start).Batches, Start);
  const Moment scheduled = after(Milliseconds(20));
  leader.tick(scheduled);
  storeAll(state, leader, leader.takeEffects(scheduled).Batches, scheduled);
  REQUIRE(state.findTask({{id, 0, 0}, 0})->Runner == "i-0");

  protocol::WorkflowCall cancelled;
  cancelled.set_host("host");
  cancelled.set_path("/sheets/" + id);
  cancelled.mutable_cancel();
  const Moment due = after(Milliseconds(200));
  leader.call(
      cancelled, [](const protocol::WorkflowAnswer &) {}, due);
  leader.tick(due);
  const std::vector<ProposedBatch> batches = leader.takeEffects(due).Batches;
  CHECK_NOTHROW(storeAll(state, leader, batches, due));
  CHECK(state.find(id)->CurrentPhase == Phase::Cancelled);
  CHECK(leader.waitingSteps() == 0);
}
