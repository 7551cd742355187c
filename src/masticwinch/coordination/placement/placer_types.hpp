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

/// What kind of work a job is.
enum class JobKind : std::uint8_t {
  /// Runs until cancelled; tasks that end are started again.
  Service,
  Batch,
  /// All tasks start together or none does.
  Gang,
};

/// Settings of a placer.
struct PlacerSettings {
  LeaseSettings Lease;
  FailureSettings Failures;
  /// Policy of jobs that name none, and whose queue order holds in the cell.
  PolicyName Policy = PolicyName::Pack;
  /// A point of priority counts as much as having waited this much longer.
  Milliseconds AgeingPerPriority{60'000};
  /// Grace that a worker gives a task to write a checkpoint.
  Milliseconds StopGrace{500};
  /// A worker that is stopping tasks is asked again after this time.
  Milliseconds StopPollInterval{200};
  /// How far backfilled tasks may overrun the start of a reservation.
  Milliseconds BackfillOverrun{5'000};
  /// Ends of repeatable tasks become durable together after this time, or with
  /// their job's end. Until then the workers keep them, for a new leader.
  Milliseconds RecordDelay{60'000};
  /// Most tasks that one step starts, so that a step stays short.
  std::uint32_t StartsPerStep = 256;
  /// Whether the platform holds tasks to the amounts they were given; without
  /// it nothing less than declared is ever reserved.
  bool PlatformEnforcesLimits = true;
  std::uint64_t Seed = 1;
};

/// A job as the replicated state has it.
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
  /// Most tasks of the job in one rack; 0 for no limit.
  std::uint32_t RackLimit = 0;
  Milliseconds ExpectedRunTime{0};
  PolicyName Policy = PolicyName::Pack;
  std::int64_t SubmittedUnixMs = 0;
  bool Cancelled = false;
};

/// What is durable about a job that an earlier leader placed.
struct JobHistory {
  std::vector<std::uint32_t> Finished;
  std::vector<std::uint32_t> Failed;
  std::vector<std::uint32_t> Unknown;
  std::vector<std::uint32_t> Replaced;
  /// Not repeatable tasks that may have been started.
  std::vector<std::uint32_t> Started;
};

/// A worker VM as it announces itself.
struct WorkerDescription {
  std::string Name;
  std::string Address;
  std::string Rack;
  std::string DataCenter;
  Resources Capacity;
};

/// Names one attempt at one task, for good.
struct AttemptId {
  std::string Job;
  std::uint32_t Task = 0;
  /// Leader's epoch and a counter; grows over all leaders.
  std::uint64_t Number = 0;
  bool operator==(const AttemptId &) const = default;
};

/// State of an attempt as its worker reports it.
enum class ReportedState : std::uint8_t {
  Running,
  Finished,
  Failed,
  Stopped,
  /// It never ran: the worker had no room, or another attempt was there.
  Refused,
};

/// What a worker says of one attempt.
struct TaskReport {
  AttemptId Id;
  ReportedState State = ReportedState::Running;
  std::int32_t ExitCode = 0;
  std::string Checkpoint;
  /// What the worker set aside for it.
  Resources Given;
  /// What it took lately.
  Resources Used;
};

/// A worker's answer. It lists every attempt that runs and every ended one that
/// it was not told to forget.
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

/// A call to a worker.
struct WorkerCall {
  WorkerIndex Worker = NoIndex;
  std::string Name;
  std::string Address;
  LeaseGrant Grant;
  std::vector<StartOrder> Starts;
  std::vector<StopOrder> Stops;
  std::vector<AttemptId> Forgets;
};

/// What must be durable of one task.
struct TaskRecord {
  std::string Job;
  std::uint32_t Task = 0;
  /// `Active` allows a not repeatable task to be started.
  TaskState State = TaskState::Finished;
};

/// A job of which all tasks have ended.
struct EndedJob {
  std::string Id;
  /// Tasks of which no end was recorded have finished.
  bool RestFinished = false;
};

/// Records that go into one command.
struct RecordBatch {
  std::uint64_t Id = 0;
  std::vector<TaskRecord> Tasks;
  std::vector<EndedJob> EndedJobs;

  bool empty() const { return Tasks.empty() && EndedJobs.empty(); }
};

/// Kinds of events that placement reports.
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

/// One event, with the ids that concern it.
struct PlacementNotice {
  PlacementEvent Kind{};
  std::string Job;
  std::uint32_t Task = 0;
  std::uint64_t Attempt = 0;
  std::string Vm;
};

/// What the caller of a step has to do.
struct StepEffects {
  std::vector<WorkerCall> Calls;
  /// To be made durable; empty while an earlier batch is not yet.
  RecordBatch Records;
  std::vector<PlacementNotice> Notices;
};

/// Counts of a job's tasks, and why it waits.
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
  /// What each task is given, which may differ from what was declared.
  Resources PerTask;
  /// Until a back-off or reservation is expected to end.
  Milliseconds Until{0};
  std::string Text;
};

/// What operators see of a worker VM.
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
