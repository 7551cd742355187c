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

/// The tables of a placer, and the steps that keep them in agreement.
class PlacerState {
public:
  explicit PlacerState(const PlacerSettings &settings);

  JobIndex addJob(JobTerms terms, const JobHistory &history);
  JobIndex findJob(std::string_view id) const;
  void removeJob(JobIndex job);

  WorkerIndex addWorker(const WorkerDescription &description);
  WorkerIndex findWorker(std::string_view name) const;

  /// Reserves and makes an attempt; `NoIndex` if the VM has no room.
  TaskIndex openAttempt(JobIndex job, std::uint32_t task, WorkerIndex vm,
                        const Resources &amount, std::uint64_t number);

  /// Gives back what the attempt holds; its task goes on to `next`.
  void closeAttempt(TaskIndex attempt, TaskState next);

  /// Makes an attempt go to the worker with its next call.
  void orderStart(TaskIndex attempt);
  void orderStop(TaskIndex attempt, StopReason reason);

  void confirmRunning(TaskIndex attempt, SteadyTime now);

  /// Puts a task into a state in which it has no attempt.
  void settleTask(JobIndex job, std::uint32_t task, TaskState state);

  /// Ends the job when all its tasks have ended.
  void endJobIfDone(JobIndex job);

  /// Puts the job into the queue if it may and should be there, else out.
  void refreshQueue(JobIndex job);

  /// Lets searches find the VM, or not, by its state.
  void updateSchedulable(WorkerIndex vm);

  /// Sets a job aside that can never run as things are.
  void checkFeasibility(JobIndex job);
  void checkAllFeasibility();

  /// What a task of the job is given now.
  Resources amountFor(const Job &job) const;
  Milliseconds runTimeFor(const Job &job) const;
  SteadyTime expectedEnd(const Attempt &attempt) const;

  /// Adds a record of an end, after which the worker may forget the attempt.
  void recordEnd(JobIndex job, std::uint32_t task, TaskState state,
                 WorkerIndex vm, std::uint64_t attempt);
  /// Lets the job's records be proposed with the next batch.
  void releaseRecords(JobIndex job);
  void forget(WorkerIndex vm, AttemptId id);
  void notice(PlacementEvent kind, JobIndex job, std::uint32_t task = 0,
              std::uint64_t attempt = 0, WorkerIndex vm = NoIndex);
  AttemptId idOf(const Attempt &attempt) const;
  void holdBack(JobIndex job);

  /// Gives up what is kept for the job.
  void dropReservation(JobIndex job);
  void reserveVm(JobIndex job, WorkerIndex vm);

  /// Lets the worker be called at that time, if no call is due earlier.
  void callAt(WorkerIndex vm, SteadyTime when);

  /// Whether jobs are served strictly in the order of submission.
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
  /// When the records of a job that wait for others are due.
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
  /// Grows whenever something that did not fit might fit now.
  std::uint64_t Generation = 1;
  /// Something changed since the last round of the scheduler.
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

/// Whether a task in this state never starts again.
bool isEnd(TaskState state);

} // namespace masticwinch::placement::internal
