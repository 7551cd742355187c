#pragma once

#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/coordination/placement/team_ledger.hpp"

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace masticwinch::placement {

/// Names a call to a worker, so that its answer finds its way back.
struct CallKey {
  std::uint64_t Epoch = 0;
  WorkerIndex Worker = NoIndex;
  std::uint64_t Sequence = 0;
};

/// The key of a call.
CallKey keyOf(const WorkerCall &call);

/// Decides where tasks run. Pure: every input carries the time, and `step`
/// returns what is to be done. One placer serves one leader; it starts anew
/// with every epoch, from the replicated jobs and what the workers report.
class Placer {
public:
  Placer(const PlacerSettings &settings, std::uint64_t epoch, SteadyTime now);
  ~Placer();
  Placer(const Placer &) = delete;
  Placer &operator=(const Placer &) = delete;

  /// Takes in a job. `fromEarlierLeader` says that an fromEarlierLeader leader
  /// may have placed it: it waits until no lease of that leader can still run.
  void addJob(const JobTerms &terms, const JobHistory &history,
              bool fromEarlierLeader, SteadyTime now);

  /// Cancels a job. Takes the same time whatever the job's size; its tasks are
  /// settled by later steps.
  void cancelJob(std::string_view id, SteadyTime now);

  void setTeam(std::string_view name, const TeamTerms &terms, SteadyTime now);

  /// Takes in or renews the description of a worker.
  void announceWorker(const WorkerDescription &description, SteadyTime now);

  /// Lets the worker be called at once, for it has news.
  void requestWorkerCall(std::string_view name, SteadyTime now);

  /// Starts or ends a drain; a name that is not known yet is remembered.
  void setDraining(std::string_view vm, bool draining, SteadyTime now);

  void workerAnswered(const CallKey &key, const WorkerAnswer &answer,
                      SteadyTime now);

  /// The worker refused the call, which changed nothing there.
  void workerRefused(const CallKey &key, SteadyTime now);

  /// The call brought no usable answer in its time.
  void workerFailed(const CallKey &key, SteadyTime now);

  /// The batch of records is durable.
  void recorded(std::uint64_t batch, SteadyTime now);

  /// The batch may not be durable; it is proposed again.
  void recordingFailed(std::uint64_t batch, SteadyTime now);

  /// Decides, and returns what is to be done.
  StepEffects step(SteadyTime now);

  /// Why a job waits; nothing for a job that is not known or has ended.
  std::optional<Explanation> explain(std::string_view job) const;

  std::vector<WorkerSummary> workers() const;
  std::optional<WorkerSummary> worker(std::string_view name) const;

  /// Compares the account with the attempts. Throws `AccountError`.
  void verify() const;

  std::size_t waitingJobs() const;
  std::size_t activeAttempts() const;
  const Resources &totalCapacity() const;

  /// The largest amounts that any VM announced, in each resource.
  const Resources &largestVm() const;
  const Resources &totalReserved() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace masticwinch::placement
