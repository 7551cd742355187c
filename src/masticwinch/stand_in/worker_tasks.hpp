#pragma once

#include "masticwinch/stand_in/task_payload.hpp"
#include "masticwinch/stand_in/worker_settings.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace masticwinch {

/// An entry of the worker's tasks file.
struct TaskRecord {
  TaskAttempt Id;
  /// `start`, `stop` or `refused`.
  std::string_view Event;
  /// Why the task stopped or was refused; empty for a start.
  std::string Reason;
  /// Resources in use after the event.
  VmResources InUse;
};

/// State machine for the tasks of a stand-in worker and the lease that they run
/// under. The caller passes in the time, which must not decrease.
class WorkerTasks {
public:
  WorkerTasks(VmResources capacity, WorkerBehavior behavior,
              std::int64_t incarnation)
      : Capacity(capacity), Behavior(behavior), Incarnation(incarnation) {}

  /// Applies a renewal: extends the lease, and forgets, stops and starts tasks.
  /// Returns a refusal if the request is rejected; a rejected request has no
  /// effect.
  std::optional<LeaseRefusal> apply(const LeaseRequest &request,
                                    SteadyTime now);

  /// Ends the tasks that are due by now. If the lease has expired, ends all
  /// tasks.
  void advance(SteadyTime now);

  /// Stops all running tasks at once.
  void stopAll(const std::string &reason);

  /// Returns the time at which `advance` is due next.
  std::optional<SteadyTime> nextEvent() const;

  /// Returns the answer to a renewal, with all tasks that were not forgotten.
  LeaseReport report(SteadyTime now) const;

  /// Returns the records since the last call, in order.
  std::vector<TaskRecord> takeRecords();

  VmResources inUse() const { return InUse; }

private:
  struct Task {
    TaskStart Start;
    TaskPayload Payload;
    TaskState State = TaskState::Running;
    SteadyTime StartedAt;
    /// When the run time ends; unset for a service without a run time.
    std::optional<SteadyTime> EndsAt;
    /// When the task stops; set once a stop was requested.
    std::optional<SteadyTime> StopsAt;
    bool CheckpointAtStop = false;
    std::int64_t ExitCode = 0;
    std::string Reason;
    std::string Checkpoint;
  };

  std::optional<LeaseRefusal> check(const LeaseRequest &request,
                                    SteadyTime now) const;
  void start(const TaskStart &start, SteadyTime now);
  std::string startRefusalReason(const TaskStart &start) const;
  void requestStop(const TaskStop &stop, SteadyTime now);
  void advanceTask(Task &task, SteadyTime now);
  void end(Task &task, TaskState state, std::string reason);
  VmResources usage(const Task &task, SteadyTime now) const;

  const VmResources Capacity;
  const WorkerBehavior Behavior;
  const std::int64_t Incarnation;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = -1;
  std::optional<SteadyTime> LeaseEnd;
  VmResources InUse;
  std::map<TaskAttempt, Task> Tasks;
  std::vector<TaskRecord> Records;
};

} // namespace masticwinch
