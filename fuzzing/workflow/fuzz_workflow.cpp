#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fuzzing/long_run.hpp"
#include "fuzzing/workflow/workflow_simulator.hpp"

namespace rc {

using masticwinch::fuzzing::WorkflowAction;
using masticwinch::fuzzing::WorkflowActionKind;

template <> struct Arbitrary<WorkflowAction> {
  static Gen<WorkflowAction> arbitrary() {
    using Kind = WorkflowActionKind;
    const auto kind = gen::weightedElement<Kind>({
        {14, Kind::Submit},
        {2, Kind::SubmitAgain},
        {6, Kind::Cancel},
        {1, Kind::QueryState},
        {45, Kind::StoreBatch},
        {90, Kind::DeliverOrder},
        {4, Kind::LoseOrder},
        {4, Kind::LoseAnswer},
        {30, Kind::EndRun},
        {40, Kind::AdvanceTime},
        {20, Kind::AnswerAdvice},
        {2, Kind::FailAdvice},
        {8, Kind::AgentSeen},
        {3, Kind::RunnerStarts},
        {2, Kind::RunnerCrashes},
        {1, Kind::RunnerDrains},
        {2, Kind::RunnerLeaves},
        {8, Kind::Heartbeat},
        {2, Kind::ChangeLeader},
        {1, Kind::RestoreSnapshot},
        {1, Kind::Configure},
        {4, Kind::RunnerReborn},
        {4, Kind::HoldAnswer},
        {6, Kind::DeliverAnswer},
        {4, Kind::DeliverHeldMessage},
        {3, Kind::ChangeCapacity},
    });
    return gen::build<WorkflowAction>(
        gen::set(&WorkflowAction::Kind, kind),
        gen::set(&WorkflowAction::A, gen::inRange<std::uint8_t>(0, 255)),
        gen::set(&WorkflowAction::B, gen::inRange<std::uint8_t>(0, 255)));
  }
};

} // namespace rc

using namespace masticwinch::fuzzing;

namespace {

constexpr int MaxActionsInSession = 600;

std::vector<WorkflowAction> anyActions() {
  return *rc::gen::resize(MaxActionsInSession,
                          rc::gen::arbitrary<std::vector<WorkflowAction>>());
}

/// Actions in which no runner starts again under an id that it had.
std::vector<WorkflowAction> actionsWithoutRebirth() {
  std::vector<WorkflowAction> actions = anyActions();
  std::erase_if(actions, [](const WorkflowAction &it) {
    return it.Kind == WorkflowActionKind::RunnerReborn;
  });
  return actions;
}

} // namespace

TEST_CASE(
    "A leader violates no invariant when orders are lost and leaders change",
    "[workflow][fuzzing]") {
  CHECK(rc::check([] { runSession(actionsWithoutRebirth()); }));
}

TEST_CASE("A leader violates no invariant when runners start again",
          "[.reborn]") {
  CHECK(rc::check([] { runSession(anyActions()); }));
}

TEST_CASE("A recurring workflow is cancelled while its next occurrence begins",
          "[workflow][fuzzing]") {
  using Kind = WorkflowActionKind;
  CHECK_NOTHROW(runSession({{Kind::Submit, 69, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::DeliverOrder, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::AdvanceTime, 0, 0},
                            {Kind::Cancel, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::AdvanceTime, 2, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::StoreBatch, 0, 0}}));
}

TEST_CASE("A leader violates no invariant in 20,000 sessions",
          "[.long][workflow-long]") {
  constexpr int Sessions = 20'000;
  CHECK(holdsInSessions(Sessions, [] { runSession(actionsWithoutRebirth()); }));
}

TEST_CASE("A leader violates no invariant in 20,000 sessions with restarts",
          "[.long][reborn-long]") {
  constexpr int Sessions = 20'000;
  CHECK(holdsInSessions(Sessions, [] { runSession(anyActions()); }));
}
