#include "masticwinch/coordination/placement/internal/drainer.hpp"

#include <algorithm>

namespace masticwinch::placement::internal {

bool Drainer::onDrainingVm(TaskIndex attempt) const {
  return State.Workers[State.Attempts[attempt].Vm].Draining;
}

void Drainer::run() {
  std::set<JobIndex> services;
  for (const WorkerIndex vm : State.DrainingVms) {
    const std::vector<TaskIndex> attempts = State.Workers[vm].Attempts;
    for (const TaskIndex it : attempts) {
      const Attempt &attempt = State.Attempts[it];
      if (attempt.Job == NoIndex || attempt.Vm != vm) {
        continue;
      }
      Job &job = State.Jobs[attempt.Job];
      if (job.Terms.Cancelled || job.Ended) {
        continue;
      }
      if (job.Terms.Kind == JobKind::Service) {
        services.insert(attempt.Job);
      } else if (job.Terms.Checkpoint && job.Terms.Kind == JobKind::Batch) {
        State.orderStop(it, StopReason::Drained);
      } else if (job.Terms.Checkpoint && !job.Restarting) {
        job.Restarting = true;
        State.RestartingGangs.push_back(attempt.Job);
      }
    }
  }
  for (const JobIndex it : services) {
    replaceService(it);
  }
}

void Drainer::replaceService(JobIndex index) {
  Job &job = State.Jobs[index];
  std::vector<TaskIndex> draining;
  std::size_t stopping = 0;
  std::size_t remaining = 0;
  for (const TaskIndex it : job.Attempts) {
    const Attempt &attempt = State.Attempts[it];
    if (attempt.State == AttemptState::Stopping) {
      ++stopping;
    } else if (onDrainingVm(it)) {
      draining.push_back(it);
    } else if (attempt.CountedRunning) {
      ++remaining;
    }
  }
  const std::size_t live = job.Tasks.size() - job.EndedTasks - stopping;
  const std::size_t wanted = job.Terms.Tasks + draining.size();
  for (std::size_t it = live; it < wanted; ++it) {
    job.Waiting.push_back(static_cast<std::uint32_t>(job.Tasks.size()));
    job.Tasks.push_back(TaskState::Waiting);
  }
  State.refreshQueue(index);
  const std::size_t running = remaining + draining.size();
  std::size_t stoppable =
      running > job.Terms.Tasks ? running - job.Terms.Tasks : 0;
  for (const TaskIndex it : draining) {
    if (stoppable == 0) {
      return;
    }
    --stoppable;
    State.orderStop(it, StopReason::Replaced);
  }
}

void Drainer::drainEnded(WorkerIndex vm) {
  std::set<JobIndex> services;
  for (const TaskIndex it : State.Workers[vm].Attempts) {
    const JobIndex job = State.Attempts[it].Job;
    if (job != NoIndex && State.Jobs[job].Terms.Kind == JobKind::Service) {
      services.insert(job);
    }
  }
  for (const JobIndex it : services) {
    const Job &job = State.Jobs[it];
    const auto draining = static_cast<std::size_t>(
        std::count_if(job.Attempts.begin(), job.Attempts.end(),
                      [&](TaskIndex index) { return onDrainingVm(index); }));
    const std::size_t live = job.Tasks.size() - job.EndedTasks;
    const std::size_t wanted = job.Terms.Tasks + draining;
    if (live > wanted) {
      trimWaiting(it, live - wanted);
    }
  }
}

void Drainer::trimWaiting(JobIndex index, std::size_t surplus) {
  Job &job = State.Jobs[index];
  for (std::size_t task = job.Tasks.size(); task-- > 0 && surplus > 0;) {
    if (job.Tasks[task] == TaskState::Waiting) {
      const auto number = static_cast<std::uint32_t>(task);
      State.recordEnd(index, number, TaskState::Replaced, NoIndex, 0);
      State.settleTask(index, number, TaskState::Replaced);
      --surplus;
    }
  }
  const std::vector<TaskIndex> attempts = job.Attempts;
  for (auto it = attempts.rbegin(); it != attempts.rend() && surplus > 0;
       ++it) {
    if (State.Attempts[*it].State != AttemptState::Stopping) {
      State.orderStop(*it, StopReason::Replaced);
      --surplus;
    }
  }
  State.refreshQueue(index);
}

} // namespace masticwinch::placement::internal
