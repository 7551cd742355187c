#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <algorithm>
#include <iterator>

namespace masticwinch::placement::internal {

AttemptId PlacerState::idOf(const Attempt &attempt) const {
  if (attempt.Job == NoIndex) {
    return Workers[attempt.Vm].Orphans.at(attempt.Number);
  }
  return {Jobs[attempt.Job].Terms.Id, attempt.Task, attempt.Number};
}

void PlacerState::notice(PlacementEvent kind, JobIndex job, std::uint32_t task,
                         std::uint64_t attempt, WorkerIndex vm) {
  PlacementNotice it{kind, "", task, attempt, ""};
  if (job != NoIndex) {
    it.Job = Jobs[job].Terms.Id;
  }
  if (vm != NoIndex) {
    it.Vm = Workers[vm].Description.Name;
  }
  Notices.push_back(std::move(it));
}

void PlacerState::orderStart(TaskIndex index) {
  Attempt &attempt = Attempts[index];
  attempt.State = AttemptState::Starting;
  callAt(attempt.Vm, Now);
}

void PlacerState::orderStop(TaskIndex index, StopReason reason) {
  Attempt &attempt = Attempts[index];
  if (attempt.State == AttemptState::Recording) {
    closeAttempt(index, TaskState::Waiting);
    return;
  }
  const bool again = attempt.State == AttemptState::Stopping;
  if (again && reason != StopReason::Cancelled) {
    return;
  }
  attempt.Stop = reason;
  attempt.State = AttemptState::Stopping;
  countReclaimable(attempt, false);
  notice(PlacementEvent::TaskStopping, attempt.Job, attempt.Task,
         attempt.Number, attempt.Vm);
  if (attempt.StartSequence == 0 && attempt.Job != NoIndex) {
    closeAttempt(index, TaskState::Waiting);
    return;
  }
  callAt(attempt.Vm, Now);
}

void PlacerState::callAt(WorkerIndex vm, SteadyTime when) {
  Worker &worker = Workers[vm];
  if (when < worker.NextCall) {
    worker.NextCall = when;
    CallTimes.emplace(when, vm);
  }
}

bool PlacerState::isFirstComeFirstServed() const {
  return withPolicy(Settings.Policy, [](const auto &policy) {
    return std::decay_t<decltype(policy)>::Order ==
           QueueOrder::FirstComeFirstServed;
  });
}

void PlacerState::confirmRunning(TaskIndex index, SteadyTime now) {
  Attempt &attempt = Attempts[index];
  if (attempt.CountedRunning || attempt.Job == NoIndex) {
    return;
  }
  attempt.CountedRunning = true;
  attempt.StartedAt = now;
  ++Jobs[attempt.Job].Running;
  if (attempt.State == AttemptState::Starting) {
    attempt.State = AttemptState::Running;
  }
  notice(PlacementEvent::TaskRunning, attempt.Job, attempt.Task, attempt.Number,
         attempt.Vm);
}

void PlacerState::refreshQueue(JobIndex index) {
  Job &job = Jobs[index];
  const bool gangBusy =
      job.Terms.Kind == JobKind::Gang && !job.Attempts.empty();
  const bool wanted = !job.Ended && !job.Terms.Cancelled && !job.Infeasible &&
                      !job.Withheld && !job.Waiting.empty() && !gangBusy &&
                      job.Failures.HeldUntil <= Now;
  if (wanted == job.Queued) {
    return;
  }
  job.Queued = wanted;
  if (wanted) {
    Queue.add(job.Slot);
    Dirty = true;
    return;
  }
  Queue.remove(job.Slot);
  if (job.Waiting.empty()) {
    job.Reason = WaitReason::None;
  }
}

void PlacerState::updateSchedulable(WorkerIndex vm) {
  const Worker &worker = Workers[vm];
  const bool onProbation =
      worker.Failures.OnProbation && !worker.Attempts.empty();
  const bool ejected = worker.Failures.EjectedUntil > Now;
  const bool schedulable = worker.Lease.hasReading() && !worker.Unresponsive &&
                           !worker.Draining && !ejected && !onProbation &&
                           worker.ReservedFor == NoIndex;
  Account.setSchedulable(vm, schedulable);
  if (schedulable) {
    ++Generation;
    Dirty = true;
  }
}

void PlacerState::checkFeasibility(JobIndex index) {
  Job &job = Jobs[index];
  if (job.Ended || job.Terms.Cancelled) {
    return;
  }
  const bool gang = job.Terms.Kind == JobKind::Gang;
  const Resources together =
      job.Terms.PerTask * (gang ? std::int64_t{job.Terms.Tasks} : 1);
  WaitReason reason = WaitReason::None;
  if (!Teams.fitsInQuota(job.Team, together)) {
    reason = WaitReason::LargerThanQuota;
  } else if (!Workers.empty() && !job.Terms.PerTask.fitsIn(LargestVm)) {
    reason = WaitReason::LargerThanAnyVm;
  }
  const bool infeasible = reason != WaitReason::None;
  if (infeasible) {
    job.Reason = reason;
  } else if (job.Infeasible) {
    job.Reason = WaitReason::Capacity;
  }
  if (infeasible && !job.Infeasible) {
    dropReservation(index);
    notice(PlacementEvent::JobSetAside, index);
  }
  job.Infeasible = infeasible;
  refreshQueue(index);
}

void PlacerState::checkAllFeasibility() {
  for (const auto &[id, job] : JobsById) {
    checkFeasibility(job);
  }
}

Resources PlacerState::amountFor(const Job &job) const {
  const Resources &declared = job.Terms.PerTask;
  Resources limit = declared * 4;
  limit.MilliProcessors =
      std::min(limit.MilliProcessors, LargestVm.MilliProcessors);
  limit.MemoryMib = std::min(limit.MemoryMib, LargestVm.MemoryMib);
  const Resources estimated =
      Estimators[job.Estimator].amountFor(declared, limit);
  const bool mayShrink =
      Settings.PlatformEnforcesLimits && job.Terms.Repeatable;
  return mayShrink ? estimated : maxOf(estimated, declared);
}

Milliseconds PlacerState::runTimeFor(const Job &job) const {
  return Estimators[job.Estimator].runTimeFor(job.Terms.ExpectedRunTime);
}

SteadyTime PlacerState::expectedEnd(const Attempt &attempt) const {
  if (attempt.Job == NoIndex || attempt.State == AttemptState::Stopping) {
    return Now + Settings.StopGrace;
  }
  const Job &job = Jobs[attempt.Job];
  const Milliseconds runTime = runTimeFor(job);
  if (job.Terms.Kind == JobKind::Service || runTime.count() <= 0) {
    return SteadyTime::max();
  }
  return std::max(Now, attempt.StartedAt + runTime);
}

void PlacerState::recordEnd(JobIndex job, std::uint32_t task, TaskState state,
                            WorkerIndex vm, std::uint64_t attempt) {
  Job &owner = Jobs[job];
  PendingRecord record{{owner.Terms.Id, task, state}, false, vm, attempt};
  if (vm != NoIndex) {
    Workers[vm].EndsToRecord.insert(attempt);
  }
  if (state != TaskState::Finished || !owner.Terms.Repeatable) {
    Records.push_back(std::move(record));
    return;
  }
  if (owner.DeferredRecords.empty()) {
    RecordsDue.emplace(Now + Settings.RecordDelay, job);
  }
  owner.DeferredRecords.push_back(std::move(record));
}

void PlacerState::releaseRecords(JobIndex job) {
  auto &deferred = Jobs[job].DeferredRecords;
  Records.insert(Records.end(), std::make_move_iterator(deferred.begin()),
                 std::make_move_iterator(deferred.end()));
  deferred.clear();
}

void PlacerState::forget(WorkerIndex vm, AttemptId id) {
  auto &list = Workers[vm].ToForget;
  if (std::find(list.begin(), list.end(), id) == list.end()) {
    list.push_back(std::move(id));
  }
}

void PlacerState::holdBack(JobIndex index) {
  Job &job = Jobs[index];
  if (job.Failures.HeldUntil <= Now) {
    return;
  }
  job.Reason = WaitReason::BackOff;
  HeldJobs.emplace(job.Failures.HeldUntil, index);
  dropReservation(index);
  notice(PlacementEvent::JobHeldBack, index);
  refreshQueue(index);
}

void PlacerState::dropReservation(JobIndex job) {
  const auto it = Reservations.find(job);
  if (it == Reservations.end()) {
    return;
  }
  const std::vector<WorkerIndex> vms = std::move(it->second.Vms);
  Reservations.erase(it);
  for (const WorkerIndex vm : vms) {
    Workers[vm].ReservedFor = NoIndex;
    updateSchedulable(vm);
  }
}

void PlacerState::reserveVm(JobIndex job, WorkerIndex vm) {
  Workers[vm].ReservedFor = job;
  Reservations[job].Vms.push_back(vm);
  updateSchedulable(vm);
}

} // namespace masticwinch::placement::internal
