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

/// One attempt at a task.
struct TaskAttempt {
  std::string Task;
  std::int64_t Attempt = 0;

  auto operator<=>(const TaskAttempt &) const = default;
};

/// Resources of a VM, or a part of them.
struct VmResources {
  std::int64_t MilliProcessors = 0;
  std::int64_t MemoryMib = 0;
  std::int64_t Accelerators = 0;

  VmResources operator+(const VmResources &other) const;
  VmResources operator-(const VmResources &other) const;
  bool fitsInto(const VmResources &capacity) const;
};

/// A task that the worker is to start.
struct TaskStart {
  TaskAttempt Id;
  VmResources Resources;
  /// Runs until it is stopped, unless its payload says how long.
  bool Service = false;
  std::string Payload;
  /// Checkpoint of an earlier attempt, or empty.
  std::string ResumeCheckpoint;
};

/// A task that the worker is to stop.
struct TaskStop {
  TaskAttempt Id;
  bool Checkpoint = false;
  Milliseconds Grace{0};
};

/// A renewal of the lease under which a worker runs tasks.
struct LeaseRequest {
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
  /// Incarnation of the worker that is meant; 0 for any.
  std::int64_t Incarnation = 0;
  /// Zero only asks for the report: the lease stays as it is, and nothing is
  /// started, stopped or forgotten.
  Milliseconds Lease{0};
  /// Reading of the worker's clock that the lease counts from, as an earlier
  /// answer stated it; nothing to count from the receipt.
  std::optional<Milliseconds> WorkerClock;
  std::vector<TaskStart> Start;
  std::vector<TaskStop> Stop;
  std::vector<TaskAttempt> Forget;
};

/// How a task stands on its worker.
enum class TaskState : std::uint8_t { Running, Finished, Failed, Stopped };

template <> struct EnumNames<TaskState> {
  static constexpr std::array<EnumName<TaskState>, 4> Table{{
      {TaskState::Running, "running"},
      {TaskState::Finished, "finished"},
      {TaskState::Failed, "failed"},
      {TaskState::Stopped, "stopped"},
  }};
};

/// What the worker says about one task.
struct TaskReport {
  TaskAttempt Id;
  TaskState State = TaskState::Running;
  std::int64_t ExitCode = 0;
  /// Why it failed or stopped.
  std::string Reason;
  std::string Checkpoint;
  /// What was set aside for it.
  VmResources Given;
  VmResources Used;
};

/// Why a lease request was refused.
struct LeaseRefusal {
  std::string Code;
  std::string Message;
  std::int64_t Epoch = 0;
  std::int64_t Sequence = 0;
  std::int64_t Incarnation = 0;
};

/// Reads the body of `PUT /v1/lease`. Errors: `SettingsError`.
Result<LeaseRequest> parseLeaseRequest(const std::string &body);

/// What a worker answers to a renewal.
struct LeaseReport {
  std::int64_t Incarnation = 0;
  std::int64_t Epoch = 0;
  Milliseconds WorkerClock{0};
  std::vector<TaskReport> Tasks;
};

/// Body of the answer to a renewal.
std::string leaseReportJson(const LeaseReport &report);

/// Body of a refusal.
std::string leaseRefusalJson(const LeaseRefusal &refusal);

} // namespace masticwinch
