#include "masticwinch/stand_in/worker_tasks.hpp"

#include <algorithm>
#include <charconv>

namespace masticwinch {

namespace {

/// Run time of tasks whose payload states none.
constexpr Milliseconds DefaultRunTime{1000};
constexpr std::int64_t FailedExitCode = 1;

/// Parses a checkpoint. The checkpoint of a simulated task is the time that it
/// has run, in milliseconds.
Milliseconds parseCheckpoint(const std::string &text) {
  std::int64_t millis = 0;
  std::from_chars(text.data(), text.data() + text.size(), millis);
  return Milliseconds(std::max<std::int64_t>(millis, 0));
}

SteadyTime leaseEnd(const LeaseRequest &request, SteadyTime now) {
  return request.WorkerClock ? SteadyTime(*request.WorkerClock + request.Lease)
                             : now + request.Lease;
}

Milliseconds elapsed(SteadyTime from, SteadyTime to) {
  return std::chrono::floor<Milliseconds>(to - from);
}

} // namespace

std::optional<LeaseRefusal> WorkerTasks::check(const LeaseRequest &request,
                                               SteadyTime now) const {
  const auto refuse = [&](const char *code, const char *message) {
    return LeaseRefusal{code, message, Epoch, Sequence, Incarnation};
  };
  if (request.Incarnation != 0 && request.Incarnation != Incarnation) {
    return refuse("wrong_incarnation", "the worker was restarted");
  }
  if (request.Epoch < Epoch) {
    return refuse("stale_epoch", "a later epoch was seen");
  }
  if (request.Epoch == Epoch && request.Sequence <= Sequence) {
    return refuse("stale_sequence", "a later request was seen");
  }
  if (request.Lease.count() > 0 && leaseEnd(request, now) <= now) {
    return refuse("lease_over", "the request took longer than its lease");
  }
  return std::nullopt;
}

std::optional<LeaseRefusal> WorkerTasks::apply(const LeaseRequest &request,
                                               SteadyTime now) {
  // The current lease may have expired while the process was paused.
  advance(now);
  if (std::optional<LeaseRefusal> refusal = check(request, now)) {
    return refusal;
  }
  Epoch = request.Epoch;
  Sequence = request.Sequence;
  if (request.Lease.count() == 0) {
    return std::nullopt;
  }
  LeaseEnd = leaseEnd(request, now);
  for (const TaskAttempt &it : request.Forget) {
    const auto task = Tasks.find(it);
    if (task != Tasks.end() && task->second.State != TaskState::Running) {
      Tasks.erase(task);
    }
  }
  for (const TaskStop &it : request.Stop) {
    requestStop(it, now);
  }
  for (const TaskStart &it : request.Start) {
    start(it, now);
  }
  advance(now);
  return std::nullopt;
}

std::string WorkerTasks::startRefusalReason(const TaskStart &start) const {
  for (const auto &[id, task] : Tasks) {
    if (id.Task == start.Id.Task && task.State == TaskState::Running) {
      return "another_attempt_runs";
    }
  }
  return (InUse + start.Resources).fitsInto(Capacity) ? "" : "over_capacity";
}

void WorkerTasks::start(const TaskStart &start, SteadyTime now) {
  if (Tasks.contains(start.Id)) {
    return;
  }
  const std::string refusal = startRefusalReason(start);
  Task &task = Tasks[start.Id];
  task.Start = start;
  task.Payload = parseTaskPayload(start.Payload);
  task.StartedAt = now;
  if (!refusal.empty()) {
    task.State = TaskState::Failed;
    task.ExitCode = FailedExitCode;
    task.Reason = refusal;
    Records.push_back({start.Id, "refused", refusal, InUse});
    return;
  }
  InUse = InUse + start.Resources;
  Records.push_back({start.Id, "start", "", InUse});
  if (Behavior.FailAll) {
    task.EndsAt = now + Behavior.StartDelay;
    task.Payload.Fail = true;
    return;
  }
  if (task.Payload.RunTime || !start.Service) {
    const Milliseconds runTime = task.Payload.RunTime.value_or(DefaultRunTime);
    const Milliseconds done =
        std::min(runTime, parseCheckpoint(start.ResumeCheckpoint));
    task.EndsAt = now + Behavior.StartDelay + runTime - done;
  }
}

void WorkerTasks::requestStop(const TaskStop &stop, SteadyTime now) {
  const auto it = Tasks.find(stop.Id);
  if (it == Tasks.end() || it->second.State != TaskState::Running) {
    return;
  }
  Task &task = it->second;
  const SteadyTime at = now + std::min(task.Payload.StopTime, stop.Grace);
  task.StopsAt = std::min(task.StopsAt.value_or(at), at);
  task.CheckpointAtStop = task.CheckpointAtStop || stop.Checkpoint;
}

void WorkerTasks::advance(SteadyTime now) {
  if (LeaseEnd && now >= *LeaseEnd) {
    // Tasks whose run time ended before the lease expired count as finished.
    const SteadyTime end = *LeaseEnd;
    LeaseEnd.reset();
    for (auto &[id, task] : Tasks) {
      advanceTask(task, end);
    }
    stopAll("lease_expired");
    return;
  }
  for (auto &[id, task] : Tasks) {
    advanceTask(task, now);
  }
}

void WorkerTasks::advanceTask(Task &task, SteadyTime now) {
  if (task.State != TaskState::Running) {
    return;
  }
  const bool ends = task.EndsAt && *task.EndsAt <= now;
  const bool stops = task.StopsAt && *task.StopsAt <= now;
  if (ends && (!stops || *task.EndsAt <= *task.StopsAt)) {
    const bool fails = task.Payload.Fail;
    task.ExitCode = fails ? FailedExitCode : 0;
    end(task, fails ? TaskState::Failed : TaskState::Finished,
        fails ? "failed" : "finished");
  } else if (stops) {
    if (task.CheckpointAtStop) {
      const Milliseconds ran = elapsed(task.StartedAt, *task.StopsAt) +
                               parseCheckpoint(task.Start.ResumeCheckpoint);
      task.Checkpoint = std::to_string(ran.count());
    }
    end(task, TaskState::Stopped, "requested");
  }
}

void WorkerTasks::end(Task &task, TaskState state, std::string reason) {
  task.State = state;
  task.Reason = std::move(reason);
  InUse = InUse - task.Start.Resources;
  Records.push_back({task.Start.Id, "stop", task.Reason, InUse});
}

void WorkerTasks::stopAll(const std::string &reason) {
  for (auto &[id, task] : Tasks) {
    if (task.State == TaskState::Running) {
      end(task, TaskState::Stopped, reason);
    }
  }
}

std::optional<SteadyTime> WorkerTasks::nextEvent() const {
  std::optional<SteadyTime> next = LeaseEnd;
  const auto consider = [&](const std::optional<SteadyTime> &at) {
    if (at && (!next || *at < *next)) {
      next = at;
    }
  };
  for (const auto &[id, task] : Tasks) {
    if (task.State == TaskState::Running) {
      consider(task.EndsAt);
      consider(task.StopsAt);
    }
  }
  return next;
}

VmResources WorkerTasks::usage(const Task &task, SteadyTime now) const {
  if (task.State != TaskState::Running ||
      now - task.StartedAt < Behavior.UsageLag) {
    return {};
  }
  const VmResources &declared = task.Start.Resources;
  const auto share = [&](std::int64_t amount) {
    return amount * Behavior.UsagePercent / 100;
  };
  return {
      task.Payload.UseMilliProcessors.value_or(share(declared.MilliProcessors)),
      task.Payload.UseMemoryMib.value_or(share(declared.MemoryMib)),
      declared.Accelerators};
}

LeaseReport WorkerTasks::report(SteadyTime now) const {
  LeaseReport report;
  report.Incarnation = Incarnation;
  report.Epoch = Epoch;
  report.WorkerClock = std::chrono::floor<Milliseconds>(now.time_since_epoch());
  for (const auto &[id, task] : Tasks) {
    report.Tasks.push_back({id, task.State, task.ExitCode, task.Reason,
                            task.Checkpoint, task.Start.Resources,
                            usage(task, now)});
  }
  return report;
}

std::vector<TaskRecord> WorkerTasks::takeRecords() {
  return std::exchange(Records, {});
}

} // namespace masticwinch
