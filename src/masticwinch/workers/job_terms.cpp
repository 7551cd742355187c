#include "masticwinch/workers/job_terms.hpp"

#include "masticwinch/coordination/placement/job_progress.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <map>

namespace masticwinch::workers {

namespace {

placement::JobKind kindOf(protocol::JobKind kind) {
  switch (kind) {
  case protocol::SERVICE:
    return placement::JobKind::Service;
  case protocol::GANG:
    return placement::JobKind::Gang;
  default:
    return placement::JobKind::Batch;
  }
}

/// Services are spread over racks unless their policy names another placement
/// or the cell's policy is first-fit.
placement::PolicyName policyOf(const protocol::TaskPolicy &policy,
                               placement::PolicyName cellPolicy) {
  const auto named = parseEnum<placement::PolicyName>(policy.placement());
  if (named) {
    return *named;
  }
  const bool spreads = policy.kind() == protocol::SERVICE &&
                       cellPolicy != placement::PolicyName::FirstFit;
  return spreads ? placement::PolicyName::Spread : cellPolicy;
}

void addTo(protocol::TaskOutcomes &outcomes, const placement::TaskRecord &it) {
  switch (it.State) {
  case placement::TaskState::Finished:
    return outcomes.add_finished(it.Task);
  case placement::TaskState::Failed:
    return outcomes.add_failed(it.Task);
  case placement::TaskState::Unknown:
    return outcomes.add_unknown(it.Task);
  case placement::TaskState::Replaced:
    return outcomes.add_replaced(it.Task);
  case placement::TaskState::Active:
    return outcomes.add_started(it.Task);
  case placement::TaskState::Waiting:
  case placement::TaskState::Cancelled:
    return;
  }
}

} // namespace

placement::Resources resourcesOf(const protocol::Resources &amount) {
  return {amount.milli_processors(), amount.memory_mib(),
          amount.accelerators()};
}

protocol::Resources messageOf(const placement::Resources &amount) {
  protocol::Resources message;
  message.set_milli_processors(amount.MilliProcessors);
  message.set_memory_mib(amount.MemoryMib);
  message.set_accelerators(amount.Accelerators);
  return message;
}

placement::JobTerms jobTermsOf(const protocol::JobRecord &record,
                               placement::PolicyName cellPolicy) {
  const protocol::TaskPolicy &policy = record.policy();
  placement::JobTerms terms;
  terms.Id = record.id();
  terms.Profile = record.spec().profile();
  terms.Team = record.spec().team();
  terms.Kind = kindOf(policy.kind());
  terms.InTier = policy.work_class() == protocol::URGENT
                     ? placement::Tier::Urgent
                     : placement::Tier::Patient;
  terms.Priority = policy.priority();
  terms.PerTask = resourcesOf(policy.resources());
  terms.Tasks = record.spec().tasks();
  terms.Preemptible = policy.preemptible();
  terms.Repeatable = policy.repeatable();
  terms.Checkpoint = policy.checkpoint();
  terms.RackLimit = policy.rack_limit();
  terms.ExpectedRunTime =
      Milliseconds(static_cast<std::int64_t>(policy.expected_run_time_ms()));
  terms.Policy = policyOf(policy, cellPolicy);
  terms.SubmittedUnixMs =
      static_cast<std::int64_t>(record.submitted_at_unix_ms());
  terms.Cancelled = record.cancelled();
  return terms;
}

placement::JobHistory historyOf(const protocol::JobProgress &progress) {
  return {placement::tasksOf(progress.finished()),
          placement::tasksOf(progress.failed()),
          placement::tasksOf(progress.unknown()),
          placement::tasksOf(progress.replaced()),
          placement::tasksOf(progress.started())};
}

placement::TeamTerms teamTermsOf(const protocol::Team &team) {
  placement::TeamTerms terms;
  terms.Weight = team.weight() == 0 ? 1 : team.weight();
  const placement::Resources quota = resourcesOf(team.quota());
  if (quota != placement::Resources{}) {
    terms.Quota = quota;
  }
  return terms;
}

placement::WorkerDescription
descriptionOf(const protocol::WorkerAnnouncement &announcement) {
  return {announcement.name(), announcement.address(), announcement.rack(),
          announcement.data_center(), resourcesOf(announcement.capacity())};
}

protocol::RecordPlacement messageOf(const placement::RecordBatch &batch) {
  std::map<std::string, protocol::TaskOutcomes> byJob;
  for (const placement::TaskRecord &it : batch.Tasks) {
    addTo(byJob[it.Job], it);
  }
  for (const placement::EndedJob &it : batch.EndedJobs) {
    byJob[it.Id].set_ended(true);
    byJob[it.Id].set_rest_finished(it.RestFinished);
  }
  protocol::RecordPlacement message;
  for (auto &[job, outcomes] : byJob) {
    outcomes.set_job(job);
    *message.add_outcomes() = std::move(outcomes);
  }
  return message;
}

} // namespace masticwinch::workers
