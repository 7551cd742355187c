#pragma once

#include "masticwinch/coordination/placement/internal/tables.hpp"
#include "masticwinch/coordination/placement/resource_account.hpp"
#include "masticwinch/coordination/placement/team_ledger.hpp"
#include "masticwinch/coordination/placement/usage_estimator.hpp"

#include <deque>
#include <queue>
#include <random>
#include <set>
#include <string_view>
#include <tuple>

namespace masticwinch::placement::internal {

/// The tables of a placer and the operations that keep them consistent.
class PlacerState {
public:
  explicit PlacerState(const PlacerSettings &settings);

  JobIndex addJob(JobTerms terms, const JobHistory &history);
  JobIndex findJob(std::string_view id) const;
  void removeJob(JobIndex job);

  WorkerIndex addWorker(const WorkerDescription &description);
  WorkerIndex findWorker(std::string_view name) const;

  /// Reserves resources and creates an attempt; `NoIndex` if the VM has no
  /// room.
  TaskIndex openAttempt(JobIndex job, std::uint32_t task, WorkerIndex vm,
                        const Resources &amount, std::uint64_t number);

  /// Releases the attempt's resources; its task changes to state `next`.
  void closeAttempt(TaskIndex attempt, TaskState next);

  /// Includes the start of the attempt in the next call to its worker.
  void orderStart(TaskIndex attempt);
  void orderStop(TaskIndex attempt, StopReason reason);

  void confirmRunning(TaskIndex attempt, SteadyTime now);

  /// Changes a task to a state without an attempt.
  void settleTask(JobIndex job, std::uint32_t task, TaskState state);

  /// Ends the job if all its tasks have ended.
  void endJobIfDone(JobIndex job);

  /// Adds the job to the queue or removes it, according to its state.
  void refreshQueue(JobIndex job);

  /// Updates whether searches find the VM, according to its state.
  void updateSchedulable(WorkerIndex vm);

  /// Marks the job infeasible if it can't run with the present VMs and quotas.
  void checkFeasibility(JobIndex job);
  void checkAllFeasibility();

  /// Amount that a task of the job gets now.
  Resources amountFor(const Job &job) const;
  Milliseconds runTimeFor(const Job &job) const;
  SteadyTime expectedEnd(const Attempt &attempt) const;

  /// Adds a record of a task's end. Once it is durable, the worker may forget
  /// the attempt.
  void recordEnd(JobIndex job, std::uint32_t task, TaskState state,
                 WorkerIndex vm, std::uint64_t attempt);
  /// Adds the job's deferred records to the next batch.
  void releaseRecords(JobIndex job);
  void forget(WorkerIndex vm, AttemptId id);
  void notice(PlacementEvent kind, JobIndex job, std::uint32_t task = 0,
              std::uint64_t attempt = 0, WorkerIndex vm = NoIndex);
  AttemptId idOf(const Attempt &attempt) const;
  void holdBack(JobIndex job);

  /// Releases the VMs that are reserved for the job.
  void dropReservation(JobIndex job);
  void reserveVm(JobIndex job, WorkerIndex vm);

  /// Schedules a call to the worker, unless one is due earlier.
  void callAt(WorkerIndex vm, SteadyTime when);

  /// Whether jobs are served strictly in order of submission.
  bool isFirstComeFirstServed() const;
  void countDomain(Job &job, WorkerIndex vm, bool added);

  PlacerSettings Settings;
  std::uint64_t Epoch = 0;
  std::uint64_t LastAttempt = 0;
  SteadyTime Now{};
  SteadyTime WithheldUntil{};

  ResourceAccount Account;
  TeamLedger Teams;
  WaitingQueue Queue;
  FailureMonitor Failures;
  std::vector<Job> Jobs;
  std::vector<JobIndex> FreeJobs;
  std::unordered_map<std::string, JobIndex> JobsById;
  std::vector<Worker> Workers;
  std::unordered_map<std::string, WorkerIndex> WorkersByName;
  std::vector<Attempt> Attempts;
  std::vector<TaskIndex> FreeAttempts;
  std::vector<UsageEstimator> Estimators;
  std::map<JobIndex, Reservation> Reservations;
  using CallTime = std::pair<SteadyTime, WorkerIndex>;
  std::priority_queue<CallTime, std::vector<CallTime>, std::greater<>>
      CallTimes;
  std::set<std::pair<SteadyTime, JobIndex>> HeldJobs;
  std::set<std::pair<SteadyTime, WorkerIndex>> EjectedVms;
  /// When each job's deferred records are due.
  std::set<std::pair<SteadyTime, JobIndex>> RecordsDue;
  std::set<JobIndex> WithheldJobs;
  std::set<WorkerIndex> DrainingVms;
  std::deque<JobIndex> CancelledJobs;
  std::deque<JobIndex> RestartingGangs;
  std::vector<PendingRecord> Records;
  std::vector<PendingRecord> RecordsInFlight;
  std::vector<EndedJob> EndedJobs;
  std::vector<EndedJob> EndedJobsInFlight;
  std::uint64_t RecordBatchId = 0;
  std::vector<PlacementNotice> Notices;
  Resources LargestVm;
  std::size_t Ejected = 0;
  /// Incremented whenever a request that did not fit might fit now.
  std::uint64_t Generation = 1;
  /// Whether anything changed since the last scheduling round.
  bool Dirty = true;
  std::mt19937_64 Random;

private:
  using RequestKey = std::tuple<std::string, Resources, PolicyName, Tier,
                                std::uint32_t, JobIndex, bool>;
  void countEnd(Job &job, TaskState state);
  void countReclaimable(Attempt &attempt, bool counted);
  void unlink(TaskIndex attempt);
  RequestClass classOf(const JobTerms &terms, JobIndex job);
  std::uint32_t nameIndex(const std::string &name);

  std::map<RequestKey, RequestClass> Classes;
  std::unordered_map<std::string, std::uint32_t> EstimatorsByProfile;
  std::unordered_map<std::string, std::uint32_t> Names;
};

/// Whether a running task of the job may be stopped for urgent work.
bool mayPreempt(const JobTerms &terms);

/// Whether the state is final.
bool isEnd(TaskState state);

} // namespace masticwinch::placement::internal
