#pragma once

#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/coordination/placement/team_ledger.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace masticwinch::placement {

/// Identifies a call to a worker, so that its answer can be matched.
struct CallKey {
  std::uint64_t Epoch = 0;
  WorkerIndex Worker = NoIndex;
  std::uint64_t Sequence = 0;
};

CallKey keyOf(const WorkerCall &call);

/// Decides where tasks run. Does no I/O and reads no clock: every input carries
/// the time, and `step` returns the actions to carry out. Each leader creates a
/// new placer for its epoch, from the replicated jobs and the reports of the
/// workers.
class Placer {
public:
  Placer(const PlacerSettings &settings, std::uint64_t epoch, SteadyTime now);
  ~Placer();
  Placer(const Placer &) = delete;
  Placer &operator=(const Placer &) = delete;

  /// Adds a job. `fromEarlierLeader` says that an earlier leader may have
  /// placed it; the job is then withheld until no lease of that leader can
  /// still be valid.
  void addJob(const JobTerms &terms, const JobHistory &history,
              bool fromEarlierLeader, SteadyTime now);

  /// Cancels a job. The time it takes does not depend on the number of tasks,
  /// which later steps settle.
  void cancelJob(std::string_view id, SteadyTime now);

  void setTeam(std::string_view name, const TeamTerms &terms, SteadyTime now);

  /// Adds a worker or updates its description.
  void announceWorker(const WorkerDescription &description, SteadyTime now);

  /// Makes a call to the worker due at once, because it has something to
  /// report.
  void requestWorkerCall(std::string_view name, SteadyTime now);

  /// Starts or ends the drain of a VM. The name of a VM that is not known yet
  /// is remembered.
  void setDraining(std::string_view vm, bool draining, SteadyTime now);

  void workerAnswered(const CallKey &key, const WorkerAnswer &answer,
                      SteadyTime now);

  /// The worker refused the call without acting on it.
  void workerRefused(const CallKey &key, SteadyTime now);

  /// The call timed out or brought no usable answer.
  void workerFailed(const CallKey &key, SteadyTime now);

  /// The batch of records is durable.
  void recorded(std::uint64_t batch, SteadyTime now);

  /// The batch may not be durable and is proposed again.
  void recordingFailed(std::uint64_t batch, SteadyTime now);

  /// Makes the decisions that are due and returns the actions to carry out.
  StepEffects step(SteadyTime now);

  /// Explains why a job waits; empty for a job that is unknown or has ended.
  std::optional<Explanation> explain(std::string_view job) const;

  std::vector<WorkerSummary> workers() const;
  std::optional<WorkerSummary> worker(std::string_view name) const;

  /// Checks the account against the attempts. Throws `AccountError` if they
  /// differ.
  void verify() const;

  std::size_t waitingJobs() const;
  std::size_t activeAttempts() const;
  const Resources &totalCapacity() const;

  /// Per-resource maximum of the capacities that VMs announced.
  const Resources &largestVm() const;
  const Resources &totalReserved() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace masticwinch::placement
