#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/failure_monitor.hpp"
#include "masticwinch/coordination/placement/placement_policy.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"
#include "masticwinch/coordination/placement/waiting_queue.hpp"
#include "masticwinch/coordination/placement/worker_lease.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch::placement {

enum class JobKind : std::uint8_t {
  /// Runs until cancelled; tasks that end are restarted.
  Service,
  Batch,
  /// All tasks start together or none does.
  Gang,
};

struct PlacerSettings {
  LeaseSettings Lease;
  FailureSettings Failures;
  /// Policy of jobs that name none. Its queue order applies to the whole cell.
  PolicyName Policy = PolicyName::Pack;
  /// Waiting time that counts as much as one point of priority.
  Milliseconds AgeingPerPriority{60'000};
  /// Time that a task has to write a checkpoint when it is stopped.
  Milliseconds StopGrace{500};
  /// Interval at which a worker that is stopping tasks is called.
  Milliseconds StopPollInterval{200};
  /// How long backfilled tasks may run past the start of a reservation.
  Milliseconds BackfillOverrun{5'000};
  /// Ends of repeatable tasks are recorded together after this delay, or with
  /// the end of their job. Until then the workers keep them, so that a new
  /// leader can learn of them.
  Milliseconds RecordDelay{60'000};
  /// Upper bound on the tasks that one step starts, which keeps steps short.
  std::uint32_t StartsPerStep = 256;
  /// Whether the platform limits tasks to the amounts they were given. Without
  /// this limit, a task never gets less than it declared.
  bool PlatformEnforcesLimits = true;
  std::uint64_t Seed = 1;
};

/// A job as stored in the replicated state.
struct JobTerms {
  std::string Id;
  std::string Profile;
  std::string Team;
  JobKind Kind = JobKind::Batch;
  Tier InTier = Tier::Patient;
  std::int32_t Priority = 0;
  Resources PerTask;
  std::uint32_t Tasks = 1;
  bool Preemptible = false;
  bool Repeatable = true;
  bool Checkpoint = false;
  /// Upper bound on the job's tasks in one rack; 0 for no limit.
  std::uint32_t RackLimit = 0;
  Milliseconds ExpectedRunTime{0};
  PolicyName Policy = PolicyName::Pack;
  std::int64_t SubmittedUnixMs = 0;
  bool Cancelled = false;
};

/// Durable progress of a job that an earlier leader may have placed.
struct JobHistory {
  std::vector<std::uint32_t> Finished;
  std::vector<std::uint32_t> Failed;
  std::vector<std::uint32_t> Unknown;
  std::vector<std::uint32_t> Replaced;
  /// Tasks that are not repeatable and may have been started.
  std::vector<std::uint32_t> Started;
};

/// A worker VM as announced.
struct WorkerDescription {
  std::string Name;
  std::string Address;
  std::string Rack;
  std::string DataCenter;
  Resources Capacity;
};

/// Permanent id of one attempt at a task.
struct AttemptId {
  std::string Job;
  std::uint32_t Task = 0;
  /// The leader's epoch in the upper half and a counter in the lower; increases
  /// across leaders.
  std::uint64_t Number = 0;
  bool operator==(const AttemptId &) const = default;
};

/// State of an attempt as its worker reports it.
enum class ReportedState : std::uint8_t {
  Running,
  Finished,
  Failed,
  Stopped,
  /// Never ran: the worker had no room, or another attempt at the task was
  /// there.
  Refused,
};

/// A worker's report on one attempt.
struct TaskReport {
  AttemptId Id;
  ReportedState State = ReportedState::Running;
  std::int32_t ExitCode = 0;
  std::string Checkpoint;
  /// Amount that the worker reserved for it.
  Resources Given;
  /// Recent usage.
  Resources Used;
};

/// A worker's answer to a call. Lists every running attempt and every ended one
/// that the worker was not told to forget.
struct WorkerAnswer {
  WorkerReading Reading;
  std::vector<TaskReport> Tasks;
};

struct StartOrder {
  AttemptId Id;
  Resources Amount;
  std::string ResumeCheckpoint;
};

struct StopOrder {
  AttemptId Id;
  bool Checkpoint = false;
  Milliseconds Grace{0};
};

struct WorkerCall {
  WorkerIndex Worker = NoIndex;
  std::string Name;
  std::string Address;
  LeaseGrant Grant;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<AttemptId> Forgets;
};

/// State of one task that must become durable.
struct TaskRecord {
  std::string Job;
  std::uint32_t Task = 0;
  /// `Active` permits the start of a task that is not repeatable.
  TaskState State = TaskState::Finished;
};

/// A job whose tasks have all ended.
struct EndedJob {
  std::string Id;
  /// Tasks without a recorded end have finished.
  bool RestFinished = false;
};

/// Records that are proposed as one command.
struct RecordBatch {
  std::uint64_t Id = 0;
  std::vector<TaskRecord> Tasks;
  std::vector<EndedJob> EndedJobs;

  bool empty() const { return Tasks.empty() && EndedJobs.empty(); }
};

/// Kinds of placement events.
enum class PlacementEvent : std::uint8_t {
  JobAccepted,
  JobCancelled,
  JobEnded,
  JobSetAside,
  JobHeldBack,
  TaskPlaced,
  TaskRunning,
  TaskStopping,
  TaskFinished,
  TaskFailed,
  TaskWaits,
  TaskUnknown,
  TaskCancelled,
  TaskReplaced,
  TaskAdopted,
  GangReserved,
  WorkerHeard,
  WorkerLost,
  WorkerEjected,
};

/// An event with the ids of what it concerns.
struct PlacementNotice {
  PlacementEvent Kind{};
  std::string Job;
  std::uint32_t Task = 0;
  std::uint64_t Attempt = 0;
  std::string Vm;
};

/// Actions that `Placer::step` hands to its caller.
struct StepEffects {
  std::vector<WorkerCall> Calls;
  /// To be made durable; empty while an earlier batch is pending.
  RecordBatch Records;
  std::vector<PlacementNotice> Notices;
};

/// Task counts of a job, and why it waits.
struct Explanation {
  std::string Job;
  WaitReason Reason = WaitReason::None;
  std::uint32_t Waiting = 0;
  std::uint32_t Active = 0;
  std::uint32_t Running = 0;
  std::uint32_t Finished = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Unknown = 0;
  bool Cancelled = false;
  /// Amount that each task gets, which may differ from the declared amount.
  Resources PerTask;
  /// Time until the back-off, the reservation or the earlier leases are
  /// expected to end.
  Milliseconds Until{0};
  std::string Text;
};

/// State of a worker VM as shown to operators.
struct WorkerSummary {
  std::string Name;
  Resources Capacity;
  Resources Reserved;
  std::uint32_t Attempts = 0;
  bool Responsive = false;
  bool Draining = false;
  bool Ejected = false;
};

} // namespace masticwinch::placement

namespace masticwinch {

template <> struct EnumNames<placement::JobKind> {
  using Kind = placement::JobKind;
  static constexpr std::array<EnumName<Kind>, 3> Table{{
      {Kind::Service, "service"},
      {Kind::Batch, "batch"},
      {Kind::Gang, "gang"},
  }};
};

template <> struct EnumNames<placement::ReportedState> {
  using Kind = placement::ReportedState;
  static constexpr std::array<EnumName<Kind>, 5> Table{{
      {Kind::Running, "running"},
      {Kind::Refused, "refused"},
      {Kind::Finished, "finished"},
      {Kind::Failed, "failed"},
      {Kind::Stopped, "stopped"},
  }};
};

template <> struct EnumNames<placement::PlacementEvent> {
  using Kind = placement::PlacementEvent;
  static constexpr std::array<EnumName<Kind>, 19> Table{{
      {Kind::JobAccepted, "job_accepted"},
      {Kind::JobCancelled, "job_cancelled"},
      {Kind::JobEnded, "job_ended"},
      {Kind::JobSetAside, "job_set_aside"},
      {Kind::JobHeldBack, "job_held_back"},
      {Kind::TaskPlaced, "task_placed"},
      {Kind::TaskRunning, "task_running"},
      {Kind::TaskStopping, "task_stopping"},
      {Kind::TaskFinished, "task_finished"},
      {Kind::TaskFailed, "task_failed"},
      {Kind::TaskWaits, "task_waits"},
      {Kind::TaskUnknown, "task_unknown"},
      {Kind::TaskCancelled, "task_cancelled"},
      {Kind::TaskReplaced, "task_replaced"},
      {Kind::TaskAdopted, "task_adopted"},
      {Kind::GangReserved, "gang_reserved"},
      {Kind::WorkerHeard, "worker_heard"},
      {Kind::WorkerLost, "worker_lost"},
      {Kind::WorkerEjected, "worker_ejected"},
  }};
};

} // namespace masticwinch
