#include "masticwinch/coordination/placement/internal/maintenance.hpp"

namespace masticwinch::placement::internal {

namespace {

/// Limit on the tasks of cancelled jobs that one step settles.
constexpr std::size_t MaxCancelledPerStep = 4096;

} // namespace

void Maintenance::run() {
  if (!State.WithheldJobs.empty() && State.Now > State.WithheldUntil) {
    releaseWithheld();
  }
  endBackOffsAndEjections();
  releaseRecords();
  cancelTasks();
  restartGangs();
}

void Maintenance::endBackOffsAndEjections() {
  while (!State.HeldJobs.empty() &&
         State.HeldJobs.begin()->first <= State.Now) {
    const JobIndex job = State.HeldJobs.begin()->second;
    State.HeldJobs.erase(State.HeldJobs.begin());
    State.refreshQueue(job);
  }
  while (!State.EjectedVms.empty() &&
         State.EjectedVms.begin()->first <= State.Now) {
    const WorkerIndex vm = State.EjectedVms.begin()->second;
    State.EjectedVms.erase(State.EjectedVms.begin());
    --State.Ejected;
    State.updateSchedulable(vm);
  }
}

void Maintenance::releaseRecords() {
  while (!State.RecordsDue.empty() &&
         State.RecordsDue.begin()->first <= State.Now) {
    const JobIndex job = State.RecordsDue.begin()->second;
    State.RecordsDue.erase(State.RecordsDue.begin());
    State.releaseRecords(job);
  }
}

void Maintenance::cancelTasks() {
  std::size_t settled = 0;
  while (!State.CancelledJobs.empty() && settled < MaxCancelledPerStep) {
    const JobIndex index = State.CancelledJobs.front();
    State.CancelledJobs.pop_front();
    if (State.Jobs[index].Ended || !State.Jobs[index].Terms.Cancelled) {
      continue;
    }
    const std::vector<TaskIndex> attempts = State.Jobs[index].Attempts;
    for (const TaskIndex it : attempts) {
      State.orderStop(it, StopReason::Cancelled);
    }
    const std::vector<std::uint32_t> waiting =
        std::move(State.Jobs[index].Waiting);
    State.Jobs[index].Waiting.clear();
    for (const std::uint32_t task : waiting) {
      if (State.Jobs[index].Tasks[task] == TaskState::Waiting) {
        State.settleTask(index, task, TaskState::Cancelled);
      }
    }
    settled += attempts.size() + waiting.size() + 1;
  }
}

void Maintenance::restartGangs() {
  while (!State.RestartingGangs.empty()) {
    const JobIndex index = State.RestartingGangs.front();
    State.RestartingGangs.pop_front();
    const std::vector<TaskIndex> attempts = State.Jobs[index].Attempts;
    for (const TaskIndex it : attempts) {
      State.orderStop(it, StopReason::GangRestart);
    }
  }
}

void Maintenance::releaseWithheld() {
  const std::set<JobIndex> jobs = std::move(State.WithheldJobs);
  State.WithheldJobs.clear();
  for (const JobIndex it : jobs) {
    release(it);
  }
}

void Maintenance::release(JobIndex index) {
  Job &job = State.Jobs[index];
  job.Withheld = false;
  job.Reason = WaitReason::None;
  for (const std::uint32_t task : job.MayHaveRun) {
    if (!job.Terms.Repeatable && task < job.Tasks.size() &&
        job.Tasks[task] == TaskState::Waiting) {
      State.notice(PlacementEvent::TaskUnknown, index, task);
      State.recordEnd(index, task, TaskState::Unknown, NoIndex, 0);
      State.settleTask(index, task, TaskState::Unknown);
    }
  }
  job.MayHaveRun.clear();
  job.Waiting.clear();
  for (std::size_t task = job.Tasks.size(); task-- > 0;) {
    if (job.Tasks[task] == TaskState::Waiting) {
      job.Waiting.push_back(static_cast<std::uint32_t>(task));
    }
  }
  if (job.Terms.Cancelled) {
    State.CancelledJobs.push_back(index);
  }
  const bool partlyRunning = job.Terms.Kind == JobKind::Gang &&
                             !job.Attempts.empty() && !job.Waiting.empty();
  if (partlyRunning) {
    job.Restarting = true;
    State.RestartingGangs.push_back(index);
  }
  State.checkFeasibility(index);
  State.refreshQueue(index);
  State.endJobIfDone(index);
}

} // namespace masticwinch::placement::internal
