#include "masticwinch/coordination/placement/internal/reconciler.hpp"

namespace masticwinch::placement::internal {

void Reconciler::handleUnknownAttempt(WorkerIndex vm,
                                      const TaskReport &report) {
  const JobIndex job = State.findJob(report.Id.Job);
  if (report.State != ReportedState::Running) {
    State.Workers[vm].Orphans.erase(report.Id.Number);
    handleLateEnd(vm, job, report);
    return;
  }
  if (job == NoIndex || !adopt(vm, job, report)) {
    stopOrphan(vm, report);
  }
}

void Reconciler::handleLateEnd(WorkerIndex vm, JobIndex index,
                               const TaskReport &report) {
  if (State.Workers[vm].EndsToRecord.contains(report.Id.Number)) {
    return;
  }
  const bool known =
      index != NoIndex && report.Id.Task < State.Jobs[index].Tasks.size();
  if (known && State.Jobs[index].Tasks[report.Id.Task] == TaskState::Waiting) {
    Job &job = State.Jobs[index];
    if (!report.Checkpoint.empty()) {
      job.Checkpoints[report.Id.Task] = report.Checkpoint;
    }
    const bool finished = report.State == ReportedState::Finished &&
                          job.Terms.Kind != JobKind::Service;
    const bool failedForGood = report.State != ReportedState::Finished &&
                               !job.Terms.Repeatable &&
                               report.Checkpoint.empty() && job.Withheld;
    if (finished || failedForGood) {
      const TaskState end = finished ? TaskState::Finished : TaskState::Failed;
      State.recordEnd(index, report.Id.Task, end, vm, report.Id.Number);
      State.settleTask(index, report.Id.Task, end);
      return;
    }
  }
  State.forget(vm, report.Id);
}

bool Reconciler::adopt(WorkerIndex vm, JobIndex index,
                       const TaskReport &report) {
  Job &job = State.Jobs[index];
  if (job.Ended || !job.Withheld) {
    return false;
  }
  const bool extra = job.Terms.Kind == JobKind::Service &&
                     report.Id.Task >= job.Tasks.size() &&
                     report.Id.Task < MaxTasksPerJob * 2;
  if (extra) {
    job.Tasks.resize(report.Id.Task + 1, TaskState::Waiting);
  }
  if (report.Id.Task >= job.Tasks.size() ||
      job.Tasks[report.Id.Task] != TaskState::Waiting) {
    return false;
  }
  const TaskIndex attempt = State.openAttempt(index, report.Id.Task, vm,
                                              report.Given, report.Id.Number);
  if (attempt == NoIndex) {
    return false;
  }
  State.Attempts[attempt].StartSequence = 1;
  State.notice(PlacementEvent::TaskAdopted, index, report.Id.Task,
               report.Id.Number, vm);
  State.confirmRunning(attempt, State.Now);
  if (job.Terms.Cancelled) {
    State.orderStop(attempt, StopReason::Cancelled);
  }
  return true;
}

void Reconciler::stopOrphan(WorkerIndex vm, const TaskReport &report) {
  State.Workers[vm].Orphans.emplace(report.Id.Number, report.Id);
  State.callAt(vm, State.Now + State.Settings.StopPollInterval);
  const TaskIndex attempt = State.openAttempt(NoIndex, report.Id.Task, vm,
                                              report.Given, report.Id.Number);
  if (attempt == NoIndex) {
    return;
  }
  State.Attempts[attempt].StartSequence = 1;
  State.orderStop(attempt, StopReason::Orphan);
}

} // namespace masticwinch::placement::internal
