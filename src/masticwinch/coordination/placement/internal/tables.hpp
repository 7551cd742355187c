#pragma once

#include "masticwinch/coordination/placement/failure_monitor.hpp"
#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/coordination/placement/waiting_queue.hpp"
#include "masticwinch/coordination/placement/worker_lease.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwinch::placement::internal {

/// Why an attempt was told to stop.
enum class StopReason : std::uint8_t {
  None,
  Cancelled,
  Preempted,
  Drained,
  /// Replaced by another task of its service.
  Replaced,
  /// Its gang restarts as a whole.
  GangRestart,
  /// Its job is unknown, or its task is placed elsewhere.
  Orphan,
};

/// A record that is not durable yet.
struct PendingRecord {
  TaskRecord Record;
  /// Implied by the record of the job's end and therefore not written.
  bool Implied = false;
  WorkerIndex Vm = NoIndex;
  std::uint64_t Attempt = 0;
};

/// An attempt that holds resources of a VM.
struct Attempt {
  std::uint64_t Number = 0;
  /// `NoIndex` for an attempt of an unknown job.
  JobIndex Job = NoIndex;
  std::uint32_t Task = 0;
  WorkerIndex Vm = NoIndex;
  /// Indexes in the attempt lists of the VM and of the job.
  std::uint32_t IndexInVm = 0;
  std::uint32_t IndexInJob = 0;
  AttemptState State = AttemptState::Starting;
  StopReason Stop = StopReason::None;
  bool CountedReclaimable = false;
  bool CountedRunning = false;
  bool Backfilled = false;
  Resources Amount;
  SteadyTime StartedAt{};
  /// Sequence of the first call that carried the start; 0 before.
  std::uint64_t StartSequence = 0;
};

/// Task counts of a job by rack and data centre, for spreading.
struct DomainCounts {
  std::unordered_map<std::uint32_t, std::uint32_t> Racks;
  std::unordered_map<std::uint32_t, std::uint32_t> DataCenters;
};

struct Job {
  JobTerms Terms;
  TeamIndex Team = NoIndex;
  std::uint32_t Estimator = 0;
  QueueSlot Slot;
  bool Queued = false;
  bool Infeasible = false;
  bool Ended = false;
  /// Accepted under an earlier leader and not yet released for placement.
  bool Withheld = false;
  /// A gang whose attempts must all stop before it starts again.
  bool Restarting = false;
  WaitReason Reason = WaitReason::None;
  std::vector<TaskState> Tasks;
  std::vector<std::uint32_t> Waiting;
  std::vector<TaskIndex> Attempts;
  std::uint32_t Running = 0;
  std::uint32_t Finished = 0;
  std::uint32_t Failed = 0;
  std::uint32_t Unknown = 0;
  /// Tasks in any final state.
  std::uint32_t EndedTasks = 0;
  JobFailures Failures;
  std::unique_ptr<DomainCounts> Domains;
  std::map<std::uint32_t, std::string> Checkpoints;
  /// Records that are batched with later ones of the job.
  std::vector<PendingRecord> DeferredRecords;
  /// Tasks that are not repeatable and that an earlier leader may have started.
  std::vector<std::uint32_t> MayHaveRun;
};

struct Worker {
  WorkerDescription Description;
  std::uint32_t Rack = 0;
  std::uint32_t DataCenter = 0;
  WorkerLease Lease;
  VmFailures Failures;
  bool Draining = false;
  /// The last call was not answered.
  bool Unresponsive = false;
  JobIndex ReservedFor = NoIndex;
  SteadyTime NextCall{};
  std::vector<TaskIndex> Attempts;
  std::vector<AttemptId> ToForget;
  /// Sent with the call in flight; requeued if it fails.
  std::vector<AttemptId> Forgetting;
  /// Ended attempts whose end is not durable yet; the worker must keep them.
  std::set<std::uint64_t> EndsToRecord;
  /// Attempts of unknown jobs that run on the worker, by number.
  std::map<std::uint64_t, AttemptId> Orphans;
  /// Announced capacity, applied with the next incarnation.
  Resources AnnouncedCapacity;
};

/// VMs reserved for one job.
struct Reservation {
  std::vector<WorkerIndex> Vms;
  /// Expected start of the job.
  SteadyTime StartsAt{};
  SteadyTime MadeAt{};
};

} // namespace masticwinch::placement::internal
