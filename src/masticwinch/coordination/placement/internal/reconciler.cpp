#include "masticwinch/coordination/placement/internal/reconciler.hpp"

#include <algorithm>

namespace masticwinch::placement::internal {

TaskIndex Reconciler::findAttempt(WorkerIndex vm, std::uint64_t number) const {
  for (const TaskIndex it : State.Workers[vm].Attempts) {
    if (State.Attempts[it].Number == number) {
      return it;
    }
  }
  return NoIndex;
}

void Reconciler::handleAnswer(WorkerIndex vm, std::uint64_t sequence,
                              const WorkerAnswer &answer) {
  Worker &worker = State.Workers[vm];
  const LeaseAnswer kind =
      worker.Lease.answered(sequence, answer.Reading, State.Now);
  if (kind == LeaseAnswer::Outdated) {
    return;
  }
  worker.Unresponsive = false;
  worker.Forgetting.clear();
  std::vector<std::uint64_t> reported;
  for (const TaskReport &it : answer.Tasks) {
    reported.push_back(it.Id.Number);
    handleReport(vm, it);
  }
  const bool newIncarnation = kind == LeaseAnswer::NewIncarnation;
  closeUnreported(vm, sequence, newIncarnation, reported);
  if (newIncarnation) {
    std::erase_if(worker.Orphans, [&](const auto &it) {
      return std::find(reported.begin(), reported.end(), it.first) ==
             reported.end();
    });
    applyAnnouncedCapacity(vm);
    State.notice(PlacementEvent::WorkerHeard, NoIndex, 0, 0, vm);
  }
  State.updateSchedulable(vm);
  scheduleNextCall(vm);
  if (newIncarnation && !worker.Attempts.empty()) {
    State.callAt(vm, State.Now);
  }
}

void Reconciler::applyAnnouncedCapacity(WorkerIndex vm) {
  Worker &worker = State.Workers[vm];
  const bool holds =
      State.Account.reserved(vm).fitsIn(worker.AnnouncedCapacity);
  if (holds && worker.AnnouncedCapacity != State.Account.capacity(vm)) {
    State.Account.setCapacity(vm, worker.AnnouncedCapacity);
    State.LargestVm = maxOf(State.LargestVm, worker.AnnouncedCapacity);
    State.checkAllFeasibility();
  }
}

void Reconciler::requeueForgets(WorkerIndex vm) {
  Worker &worker = State.Workers[vm];
  for (AttemptId &it : worker.Forgetting) {
    State.forget(vm, std::move(it));
  }
  worker.Forgetting.clear();
}

void Reconciler::callRefused(WorkerIndex vm, std::uint64_t sequence) {
  Worker &worker = State.Workers[vm];
  worker.Lease.refused(sequence);
  requeueForgets(vm);
  for (const TaskIndex it : worker.Attempts) {
    Attempt &attempt = State.Attempts[it];
    if (attempt.StartSequence == sequence &&
        attempt.State == AttemptState::Starting) {
      attempt.StartSequence = 0;
    }
  }
  worker.NextCall = SteadyTime::max();
  State.callAt(vm, State.Now);
}

void Reconciler::handleRefused(TaskIndex index) {
  const Attempt attempt = State.Attempts[index];
  endAndForget(index, TaskState::Waiting);
  restartGang(attempt.Job);
}

void Reconciler::callFailed(WorkerIndex vm, std::uint64_t sequence) {
  Worker &worker = State.Workers[vm];
  worker.Lease.failed(sequence);
  worker.Unresponsive = true;
  requeueForgets(vm);
  State.updateSchedulable(vm);
  if (worker.Lease.hasReading() && worker.Lease.expired(State.Now)) {
    loseWorker(vm);
  }
  const SteadyTime retry = State.Now + State.Settings.Lease.RenewInterval;
  const SteadyTime end = worker.Lease.latestExpiry() + Milliseconds(1);
  worker.NextCall = SteadyTime::max();
  State.callAt(vm, end > State.Now ? std::min(retry, end) : retry);
}

void Reconciler::loseWorker(WorkerIndex vm) {
  Worker &worker = State.Workers[vm];
  worker.Lease.clearReading();
  State.notice(PlacementEvent::WorkerLost, NoIndex, 0, 0, vm);
  while (!worker.Attempts.empty()) {
    loseAttempt(worker.Attempts.back());
  }
  State.updateSchedulable(vm);
}

void Reconciler::handleReport(WorkerIndex vm, const TaskReport &report) {
  const TaskIndex index = findAttempt(vm, report.Id.Number);
  if (index == NoIndex) {
    handleUnknownAttempt(vm, report);
    return;
  }
  const Attempt &attempt = State.Attempts[index];
  if (attempt.Job == NoIndex) {
    if (report.State != ReportedState::Running) {
      endAndForget(index, TaskState::Waiting);
    }
    return;
  }
  const Job &job = State.Jobs[attempt.Job];
  if (report.Used.MemoryMib > 0 || report.Used.MilliProcessors > 0) {
    State.Estimators[job.Estimator].observeUsage(report.Used);
  }
  switch (report.State) {
  case ReportedState::Running:
    State.confirmRunning(index, State.Now);
    break;
  case ReportedState::Finished:
    handleFinished(index);
    break;
  case ReportedState::Failed:
    handleFailed(index);
    break;
  case ReportedState::Refused:
    handleRefused(index);
    break;
  case ReportedState::Stopped:
    handleStopped(index, report.Checkpoint);
    break;
  }
}

void Reconciler::endWithRecord(TaskIndex index, TaskState end) {
  const Attempt attempt = State.Attempts[index];
  State.recordEnd(attempt.Job, attempt.Task, end, attempt.Vm, attempt.Number);
  State.closeAttempt(index, end);
}

void Reconciler::endAndForget(TaskIndex index, TaskState next) {
  const Attempt attempt = State.Attempts[index];
  State.forget(attempt.Vm, State.idOf(attempt));
  State.closeAttempt(index, next);
  if (attempt.Job == NoIndex) {
    State.Workers[attempt.Vm].Orphans.erase(attempt.Number);
  }
}

void Reconciler::handleFinished(TaskIndex index) {
  const Attempt attempt = State.Attempts[index];
  Job &job = State.Jobs[attempt.Job];
  State.Failures.recordSuccess(job.Failures,
                               State.Workers[attempt.Vm].Failures);
  State.notice(PlacementEvent::TaskFinished, attempt.Job, attempt.Task,
               attempt.Number, attempt.Vm);
  if (job.Terms.Kind == JobKind::Service) {
    endAndForget(index, TaskState::Waiting);
    return;
  }
  if (attempt.CountedRunning) {
    State.Estimators[job.Estimator].observeFinish(
        std::chrono::duration_cast<Milliseconds>(State.Now -
                                                 attempt.StartedAt));
  }
  job.Checkpoints.erase(attempt.Task);
  endWithRecord(index, TaskState::Finished);
}

void Reconciler::handleFailed(TaskIndex index) {
  const Attempt attempt = State.Attempts[index];
  Job &job = State.Jobs[attempt.Job];
  State.notice(PlacementEvent::TaskFailed, attempt.Job, attempt.Task,
               attempt.Number, attempt.Vm);
  if (attempt.Stop != StopReason::None) {
    handleStopped(index, "");
    return;
  }
  Worker &worker = State.Workers[attempt.Vm];
  if (!job.Terms.PerTask.fitsIn(attempt.Amount)) {
    State.Estimators[job.Estimator].observeShortfall();
  } else {
    const bool ejected = worker.Failures.EjectedUntil > State.Now;
    const auto mayEject =
        static_cast<std::size_t>(State.Settings.Failures.MaxEjectedPercent);
    State.Failures.recordFailure(
        job.Failures, attempt.Job, worker.Failures, attempt.Vm,
        State.Ejected * 100 <= State.Workers.size() * mayEject, State.Now);
    if (!ejected && worker.Failures.EjectedUntil > State.Now) {
      ++State.Ejected;
      State.EjectedVms.emplace(worker.Failures.EjectedUntil, attempt.Vm);
      State.notice(PlacementEvent::WorkerEjected, NoIndex, 0, 0, attempt.Vm);
    }
  }
  if (!job.Terms.Repeatable) {
    endWithRecord(index, TaskState::Failed);
  } else {
    endAndForget(index, TaskState::Waiting);
    State.holdBack(attempt.Job);
  }
  restartGang(attempt.Job);
}

void Reconciler::handleStopped(TaskIndex index, const std::string &checkpoint) {
  const Attempt attempt = State.Attempts[index];
  Job &job = State.Jobs[attempt.Job];
  if (!checkpoint.empty()) {
    job.Checkpoints[attempt.Task] = checkpoint;
  }
  if (job.Terms.Cancelled) {
    State.notice(PlacementEvent::TaskCancelled, attempt.Job, attempt.Task,
                 attempt.Number, attempt.Vm);
    endAndForget(index, TaskState::Cancelled);
    return;
  }
  if (attempt.Stop == StopReason::Replaced) {
    State.notice(PlacementEvent::TaskReplaced, attempt.Job, attempt.Task,
                 attempt.Number, attempt.Vm);
    endWithRecord(index, TaskState::Replaced);
    return;
  }
  if (job.Terms.Repeatable || !checkpoint.empty()) {
    State.notice(PlacementEvent::TaskWaits, attempt.Job, attempt.Task,
                 attempt.Number, attempt.Vm);
    endAndForget(index, TaskState::Waiting);
  } else {
    endWithRecord(index, TaskState::Failed);
  }
  restartGang(attempt.Job);
}

void Reconciler::loseAttempt(TaskIndex index) {
  const Attempt attempt = State.Attempts[index];
  if (attempt.Job == NoIndex) {
    State.closeAttempt(index, TaskState::Waiting);
    State.Workers[attempt.Vm].Orphans.erase(attempt.Number);
    return;
  }
  const Job &job = State.Jobs[attempt.Job];
  const bool mayHaveRun = attempt.StartSequence != 0;
  if (job.Terms.Repeatable || !mayHaveRun) {
    State.notice(PlacementEvent::TaskWaits, attempt.Job, attempt.Task,
                 attempt.Number, attempt.Vm);
    State.closeAttempt(index, TaskState::Waiting);
  } else {
    State.notice(PlacementEvent::TaskUnknown, attempt.Job, attempt.Task,
                 attempt.Number, attempt.Vm);
    endWithRecord(index, TaskState::Unknown);
  }
  restartGang(attempt.Job);
}

void Reconciler::restartGang(JobIndex index) {
  Job &job = State.Jobs[index];
  const bool gang = job.Terms.Kind == JobKind::Gang;
  if (gang && !job.Restarting && !job.Ended && !job.Attempts.empty()) {
    job.Restarting = true;
    State.RestartingGangs.push_back(index);
  }
}

void Reconciler::closeUnreported(WorkerIndex vm, std::uint64_t sequence,
                                 bool newIncarnation,
                                 const std::vector<std::uint64_t> &reported) {
  const std::vector<TaskIndex> attempts = State.Workers[vm].Attempts;
  for (const TaskIndex it : attempts) {
    const Attempt &attempt = State.Attempts[it];
    const bool sent =
        attempt.StartSequence != 0 && attempt.StartSequence <= sequence;
    if (attempt.Vm != vm || !sent ||
        std::find(reported.begin(), reported.end(), attempt.Number) !=
            reported.end()) {
      continue;
    }
    const bool onlyThisCall = attempt.StartSequence == sequence;
    const bool neverRan =
        !attempt.CountedRunning && (!newIncarnation || onlyThisCall);
    const JobIndex job = attempt.Job;
    if (neverRan && job != NoIndex) {
      State.closeAttempt(it, TaskState::Waiting);
      restartGang(job);
    } else {
      loseAttempt(it);
    }
  }
}

void Reconciler::scheduleNextCall(WorkerIndex vm) {
  Worker &worker = State.Workers[vm];
  SteadyTime next =
      std::min(worker.NextCall, State.Now + State.Settings.Lease.RenewInterval);
  for (const TaskIndex it : worker.Attempts) {
    const Attempt &attempt = State.Attempts[it];
    if (attempt.State == AttemptState::Stopping) {
      next = std::min(next, State.Now + State.Settings.StopPollInterval);
    } else if (attempt.State == AttemptState::Starting) {
      next = State.Now;
    }
  }
  worker.NextCall = SteadyTime::max();
  State.callAt(vm, next);
}

std::vector<WorkerCall> Reconciler::makeDueCalls() {
  std::vector<WorkerCall> calls;
  while (!State.CallTimes.empty() && State.CallTimes.top().first <= State.Now) {
    const WorkerIndex vm = State.CallTimes.top().second;
    State.CallTimes.pop();
    const Worker &worker = State.Workers[vm];
    if (worker.NextCall <= State.Now && !worker.Lease.callInFlight()) {
      calls.push_back(makeCall(vm));
    }
  }
  return calls;
}

WorkerCall Reconciler::makeCall(WorkerIndex vm) {
  Worker &worker = State.Workers[vm];
  worker.NextCall = SteadyTime::max();
  WorkerCall call;
  call.Worker = vm;
  call.Name = worker.Description.Name;
  call.Address = worker.Description.Address;
  call.Grant =
      worker.Lease.nextCall(State.Epoch, State.Settings.Lease, State.Now);
  if (call.Grant.Incarnation == 0) {
    return call;
  }
  for (const TaskIndex it : worker.Attempts) {
    Attempt &attempt = State.Attempts[it];
    if (attempt.Job == NoIndex) {
      continue;
    }
    if (attempt.State == AttemptState::Starting) {
      attempt.StartSequence = attempt.StartSequence == 0
                                  ? call.Grant.Sequence
                                  : attempt.StartSequence;
      const auto &saved = State.Jobs[attempt.Job].Checkpoints;
      const auto checkpoint = saved.find(attempt.Task);
      call.Starts.push_back(
          {State.idOf(attempt), attempt.Amount,
           checkpoint == saved.end() ? std::string() : checkpoint->second});
    } else if (attempt.State == AttemptState::Stopping) {
      const bool save = State.Jobs[attempt.Job].Terms.Checkpoint &&
                        attempt.Stop != StopReason::Cancelled;
      call.Stops.push_back(
          {State.idOf(attempt), save, State.Settings.StopGrace});
    }
  }
  for (const auto &[number, id] : worker.Orphans) {
    call.Stops.push_back({id, false, State.Settings.StopGrace});
  }
  worker.Forgetting = std::move(worker.ToForget);
  worker.ToForget.clear();
  call.Forgets = worker.Forgetting;
  return call;
}

} // namespace masticwinch::placement::internal
