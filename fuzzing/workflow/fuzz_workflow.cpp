#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "fuzzing/long_run.hpp"
#include "fuzzing/workflow/workflow_world.hpp"

namespace rc {

using masticwinch::fuzzing::WorkflowStep;
using masticwinch::fuzzing::WorkflowStepKind;

template <> struct Arbitrary<WorkflowStep> {
  static Gen<WorkflowStep> arbitrary() {
    using Kind = WorkflowStepKind;
    const auto kind = gen::weightedElement<Kind>({
        {14, Kind::Submit},       {2, Kind::SubmitAgain},
        {6, Kind::Cancel},        {1, Kind::AskState},
        {45, Kind::StoreBatch},   {90, Kind::CarryOutOrder},
        {4, Kind::LoseOrder},     {4, Kind::LoseAnswer},
        {30, Kind::EndRun},       {40, Kind::Advance},
        {20, Kind::AnswerAdvice}, {2, Kind::FailAdvice},
        {8, Kind::AgentSeen},     {3, Kind::RunnerStarts},
        {2, Kind::RunnerCrashes}, {1, Kind::RunnerDrains},
        {2, Kind::RunnerLeaves},  {8, Kind::Heartbeat},
        {2, Kind::ChangeLeader},  {1, Kind::ReplaceState},
        {1, Kind::Configure},
    });
    return gen::build<WorkflowStep>(
        gen::set(&WorkflowStep::Kind, kind),
        gen::set(&WorkflowStep::A, gen::inRange<std::uint8_t>(0, 255)),
        gen::set(&WorkflowStep::B, gen::inRange<std::uint8_t>(0, 255)));
  }
};

} // namespace rc

using namespace masticwinch::fuzzing;

namespace {

constexpr int StepsInSession = 600;

std::vector<WorkflowStep> anySteps() {
  return *rc::gen::resize(StepsInSession,
                          rc::gen::arbitrary<std::vector<WorkflowStep>>());
}

} // namespace

TEST_CASE("A leader decides without error under lost orders and new leaders",
          "[workflow][fuzzing]") {
  CHECK(rc::check([] { runSession(anySteps()); }));
}

TEST_CASE("A timed workflow is cancelled while its next occurrence begins",
          "[workflow][fuzzing]") {
  using Kind = WorkflowStepKind;
  CHECK_NOTHROW(runSession({{Kind::Submit, 69, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::Advance, 0, 0},
                            {Kind::CarryOutOrder, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::Advance, 0, 0},
                            {Kind::Cancel, 0, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::Advance, 2, 0},
                            {Kind::StoreBatch, 0, 0},
                            {Kind::StoreBatch, 0, 0}}));
}

TEST_CASE("A leader decides without error in 20,000 sessions",
          "[.long][workflow-long]") {
  constexpr int Sessions = 20'000;
  CHECK(holdsInSessions(Sessions, [] { runSession(anySteps()); }));
}
