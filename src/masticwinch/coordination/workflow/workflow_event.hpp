#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Kinds of decisions and observations of a leader.
enum class WorkflowEventKind : std::uint8_t {
  LeadershipTaken,
  WorkflowAccepted,
  WorkflowRefused,
  WorkflowCancelled,
  WorkflowEnded,
  OccurrenceBegun,
  RunAssigned,
  RunEnded,
  StartRefused,
  StopUnanswered,
  RunnerKnown,
  RunnerDraining,
  RunnerShrank,
  RunnerLeaving,
  RunnerGone,
  RunnerMissing,
  RunnerAdopted,
  RunnerSilent,
  RunnerRests,
  OrdersOverdue,
  RunnerReborn,
  RunEndUntracked,
  RunsExposed,
  RunnerResolved,
  ProbationBegan,
  ProbationEnded,
  WorkflowGivenUp,
  HeartbeatOutdated,
  AdviceAsked,
  AdviceFailed,
  StepWaits,
  ClaimEnded,
  DrainBegan,
  DrainEnded,
  PoolLoad,
  QueueLoad,
  SizeLoad,
  CallsUnauthenticated,
  AccountLoad,
  ConfigurationStored,
  ConfigurationOutdated,
  Deposed,
};

/// Whether events of this kind are regular reports, whose number doesn't grow
/// with the load.
constexpr bool isReport(WorkflowEventKind kind) {
  return kind == WorkflowEventKind::StepWaits ||
         kind == WorkflowEventKind::PoolLoad ||
         kind == WorkflowEventKind::QueueLoad ||
         kind == WorkflowEventKind::SizeLoad ||
         kind == WorkflowEventKind::CallsUnauthenticated ||
         kind == WorkflowEventKind::AccountLoad;
}

/// An entry of the event log: what it concerns and what the decision was based
/// on.
struct WorkflowEvent {
  WorkflowEventKind Kind;
  std::vector<std::pair<std::string, std::string>> Fields;
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::WorkflowEventKind> {
  using Kind = workflow::WorkflowEventKind;
  static constexpr std::array Table{
      EnumName<Kind>{Kind::LeadershipTaken, "workflow_leadership_taken"},
      EnumName<Kind>{Kind::WorkflowAccepted, "workflow_accepted"},
      EnumName<Kind>{Kind::WorkflowRefused, "workflow_refused"},
      EnumName<Kind>{Kind::WorkflowCancelled, "workflow_cancelled"},
      EnumName<Kind>{Kind::WorkflowEnded, "workflow_ended"},
      EnumName<Kind>{Kind::OccurrenceBegun, "occurrence_begun"},
      EnumName<Kind>{Kind::RunAssigned, "run_assigned"},
      EnumName<Kind>{Kind::RunEnded, "run_ended"},
      EnumName<Kind>{Kind::StartRefused, "start_refused"},
      EnumName<Kind>{Kind::StopUnanswered, "stop_unanswered"},
      EnumName<Kind>{Kind::RunnerKnown, "runner_known"},
      EnumName<Kind>{Kind::RunnerDraining, "runner_draining"},
      EnumName<Kind>{Kind::RunnerShrank, "runner_shrank"},
      EnumName<Kind>{Kind::RunnerLeaving, "runner_leaving"},
      EnumName<Kind>{Kind::RunnerGone, "runner_gone"},
      EnumName<Kind>{Kind::RunnerMissing, "runner_missing"},
      EnumName<Kind>{Kind::RunnerAdopted, "runner_adopted"},
      EnumName<Kind>{Kind::RunnerSilent, "runner_silent"},
      EnumName<Kind>{Kind::RunnerRests, "runner_rests"},
      EnumName<Kind>{Kind::OrdersOverdue, "orders_overdue"},
      EnumName<Kind>{Kind::RunnerReborn, "runner_reborn"},
      EnumName<Kind>{Kind::RunEndUntracked, "run_end_untracked"},
      EnumName<Kind>{Kind::RunsExposed, "runs_exposed"},
      EnumName<Kind>{Kind::RunnerResolved, "runner_resolved"},
      EnumName<Kind>{Kind::ProbationBegan, "queue_probation_began"},
      EnumName<Kind>{Kind::ProbationEnded, "queue_probation_ended"},
      EnumName<Kind>{Kind::WorkflowGivenUp, "workflow_given_up"},
      EnumName<Kind>{Kind::HeartbeatOutdated, "heartbeat_outdated"},
      EnumName<Kind>{Kind::AdviceAsked, "advice_asked"},
      EnumName<Kind>{Kind::AdviceFailed, "advice_failed"},
      EnumName<Kind>{Kind::StepWaits, "step_waits"},
      EnumName<Kind>{Kind::ClaimEnded, "claim_ended"},
      EnumName<Kind>{Kind::DrainBegan, "drain_began"},
      EnumName<Kind>{Kind::DrainEnded, "drain_ended"},
      EnumName<Kind>{Kind::PoolLoad, "pool_load"},
      EnumName<Kind>{Kind::QueueLoad, "queue_load"},
      EnumName<Kind>{Kind::SizeLoad, "size_load"},
      EnumName<Kind>{Kind::CallsUnauthenticated, "calls_unauthenticated"},
      EnumName<Kind>{Kind::AccountLoad, "account_load"},
      EnumName<Kind>{Kind::ConfigurationStored, "configuration_stored"},
      EnumName<Kind>{Kind::ConfigurationOutdated, "configuration_outdated"},
      EnumName<Kind>{Kind::Deposed, "leader_deposed"}};
};

} // namespace masticwinch
