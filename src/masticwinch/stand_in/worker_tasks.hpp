#pragma once

#include "masticwinch/stand_in/task_payload.hpp"
#include "masticwinch/stand_in/worker_settings.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace masticwinch {

/// What happened to a task, for the worker's tasks file.
struct TaskRecord {
  TaskAttempt Id;
  /// `start`, `stop` or `refused`.
  std::string_view Event;
  /// Why it stopped or was refused; empty for a start.
  std::string Reason;
  /// In use after the event.
  VmResources InUse;
};

/// The tasks of a stand-in worker and the lease that they run under. Time is
/// passed in, and never goes back.
class WorkerTasks {
public:
  WorkerTasks(VmResources capacity, WorkerBehavior behavior,
              std::int64_t incarnation)
      : Capacity(capacity), Treatment(behavior), Incarnation(incarnation) {}

  /// Takes a renewal: starts, stops and forgets tasks. A refusal changes
  /// nothing.
  std::optional<LeaseRefusal> apply(const LeaseRequest &request,
                                    SteadyTime now);

  /// Ends tasks that are done by now; when the lease has run out, all.
  void advance(SteadyTime now);

  /// Stops all tasks.
  void stopAll(const std::string &reason);

  /// When `advance` has something to do next.
  std::optional<SteadyTime> nextEvent() const;

  /// The answer to a renewal, with every task that was not forgotten.
  LeaseReport report(SteadyTime now) const;

  /// Records since the last call, in order.
  std::vector<TaskRecord> takeRecords();

  VmResources inUse() const { return InUse; }

private:
  struct Task {
    TaskStart Start;
    TaskPayload Payload;
    TaskState State = TaskState::Running;
    SteadyTime StartedAt;
    /// When it ends by itself; nothing for a service.
    std::optional<SteadyTime> EndsAt;
    /// Set once it was told to stop.
    std::optional<SteadyTime> StopsAt;
    bool CheckpointAtStop = false;
    std::int64_t ExitCode = 0;
    std::string Reason;
    std::string Checkpoint;
  };

  std::optional<LeaseRefusal> check(const LeaseRequest &request,
                                    SteadyTime now) const;
  void start(const TaskStart &start, SteadyTime now);
  std::string refusalOf(const TaskStart &start) const;
  void requestStop(const TaskStop &stop, SteadyTime now);
  void advanceTask(Task &task, SteadyTime now);
  void end(Task &task, TaskState state, std::string reason);
  VmResources usage(const Task &task, SteadyTime now) const;

  const VmResources Capacity;
  const WorkerBehavior Treatment;
  const std::int64_t Incarnation;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = -1;
  std::optional<SteadyTime> LeaseEnd;
  VmResources InUse;
  std::map<TaskAttempt, Task> Tasks;
  std::vector<TaskRecord> Records;
};

} // namespace masticwinch
