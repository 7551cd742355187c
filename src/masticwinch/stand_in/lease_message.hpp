#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/common/result.hpp"
#include "masticwinch/settings/settings_error.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch {

/// Identifies one attempt to run a task.
struct TaskAttempt {
  std::string Task;
  std::int64_t Attempt = 0;

  auto operator<=>(const TaskAttempt &) const = default;
};

/// Resources of a VM or of a task.
struct VmResources {
  std::int64_t MilliProcessors = 0;
  std::int64_t MemoryMib = 0;
  std::int64_t Accelerators = 0;

  VmResources operator+(const VmResources &other) const;
  VmResources operator-(const VmResources &other) const;
  bool fitsInto(const VmResources &capacity) const;
};

/// An order to start a task.
struct TaskStart {
  TaskAttempt Id;
  VmResources Resources;
  /// Whether the task runs until it is stopped. A run time in the payload takes
  /// precedence.
  bool Service = false;
  std::string Payload;
  /// Checkpoint of an earlier attempt; empty if there is none.
  std::string ResumeCheckpoint;
};

/// An order to stop a task.
struct TaskStop {
  TaskAttempt Id;
  bool Checkpoint = false;
  Milliseconds Grace{0};
};

/// A renewal of the lease that permits a worker to run tasks.
struct LeaseRequest {
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
  /// Incarnation of the worker that the request addresses; 0 matches any.
  std::int64_t Incarnation = 0;
  /// Length of the lease. Zero requests only the report: the lease is not
  /// changed, and no task is started, stopped or forgotten.
  Milliseconds Lease{0};
  /// Reading of the worker's clock, from an earlier report, at which the lease
  /// starts. Without it, the lease starts when the request is received.
  std::optional<Milliseconds> WorkerClock;
  std::vector<TaskStart> Start;
  std::vector<TaskStop> Stop;
  std::vector<TaskAttempt> Forget;
};

/// State of a task on its worker.
enum class TaskState : std::uint8_t { Running, Finished, Failed, Stopped };

template <> struct EnumNames<TaskState> {
  static constexpr std::array<EnumName<TaskState>, 4> Table{{
      {TaskState::Running, "running"},
      {TaskState::Finished, "finished"},
      {TaskState::Failed, "failed"},
      {TaskState::Stopped, "stopped"},
  }};
};

/// The state of one task in a lease report.
struct TaskReport {
  TaskAttempt Id;
  TaskState State = TaskState::Running;
  std::int64_t ExitCode = 0;
  /// Why the task failed or was stopped.
  std::string Reason;
  std::string Checkpoint;
  /// Resources that are reserved for the task.
  VmResources Reserved;
  VmResources Used;
};

/// The reason why a lease request was rejected.
struct LeaseRefusal {
  std::string Code;
  std::string Message;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
  std::int64_t Incarnation = 0;
};

/// Parses the body of `PUT /v1/lease`. Errors: `SettingsError`.
Result<LeaseRequest> parseLeaseRequest(const std::string &body);

/// A worker's answer to a renewal.
struct LeaseReport {
  std::int64_t Incarnation = 0;
  std::int64_t Epoch = 0;
  Milliseconds WorkerClock{0};
  std::vector<TaskReport> Tasks;
};

/// Serialises the answer to a renewal.
std::string leaseReportJson(const LeaseReport &report);

/// Serialises the answer to a rejected lease request.
std::string leaseRefusalJson(const LeaseRefusal &refusal);

} // namespace masticwinch
