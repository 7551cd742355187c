#pragma once

#include "benchmarks/workflow_model.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

namespace masticwinch::benchmarks {

enum class JobPhase : std::uint8_t {
  /// The leader does not have it.
  Unknown,
  /// Its acceptance is being stored.
  Accepting,
  Accepted,
  /// The leader dropped it since its time is past.
  Dropped,
  Done,
};

/// The work of one caller: a step of equal tasks.
struct BurstJob {
  std::uint32_t Queue = 0;
  std::uint32_t Priority = 0;
  std::int64_t MilliProcessors = 0;
  Milliseconds TaskTime{0};
  /// How long the job may wait and still end within its objective.
  Milliseconds Slack{0};
  Milliseconds Objective{0};
  std::vector<std::uint32_t> IdleTasks;
  std::uint32_t TaskCount = 0;
  std::uint32_t TasksLeft = 0;
  JobPhase Phase = JobPhase::Unknown;
  /// When the caller first sent it, in seconds.
  double FirstSent = 0;
  double AcceptedAt = 0;
  /// When its entry VM received the call that was accepted.
  double AcceptedCallBegan = 0;
  /// Number of the caller's current call; earlier ones have ended.
  std::uint32_t Call = 0;
  double CallBegan = 0;
  bool CallOpen = false;
  std::uint32_t TimeOuts = 0;
  /// How often the caller has sent the same work before.
  std::uint32_t Returned = 0;
  bool CallerGone = false;
  bool IsListed = false;
  bool Worthless = true;
  /// Core-seconds that runs of the job used.
  double CoreSecondsUsed = 0;

  /// Seconds after which the result has no value and the caller gives up.
  double patience() const {
    return workflow::LateFactor * double(Objective.count()) / 1000;
  }
  /// Core-milliseconds of tasks that wait.
  std::uint64_t waitingWork() const {
    return IdleTasks.size() * std::uint64_t(TaskTime.count()) *
           std::uint64_t(MilliProcessors) / 1000;
  }
  double coreSeconds(std::size_t tasks) const {
    return double(tasks) * double(TaskTime.count()) * double(MilliProcessors) /
           1e6;
  }
};

/// Draws jobs of the queues of `priceQueues` without gangs and advice, at a
/// rate that gives a chosen load.
class BurstJobs {
public:
  /// `cores` is the load in cores.
  BurstJobs(std::size_t runners, double cores, std::uint64_t seed)
      : Queues(priceQueues(1, double(runners) / 48)), Engine(seed) {
    std::mt19937_64 sampled(1);
    std::swap(sampled, Engine);
    double offered = 0;
    for (std::uint32_t i = 0; i < Queues.size(); ++i) {
      double work = 0;
      for (int k = 0; k < Samples; ++k) {
        const BurstJob job = draw(i);
        work += job.coreSeconds(job.TasksLeft) / Samples;
      }
      offered += work * Queues[i].PerSecond;
    }
    Scale = cores / offered;
    std::swap(sampled, Engine);
  }

  std::size_t queueCount() const { return Queues.size(); }

  /// Seconds until the next job of a queue when the load is `factor` times the
  /// chosen one.
  double gap(std::uint32_t queue, double factor) {
    return std::exponential_distribution<double>(Queues[queue].PerSecond *
                                                 Scale * factor)(Engine);
  }

  BurstJob draw(std::uint32_t i) {
    const ModelQueue &queue = Queues[i];
    BurstJob job;
    job.Queue = i;
    job.Priority = queue.Priority;
    const double width = queue.Tasks * queue.Steps;
    const double tasks =
        std::min(std::max(1.0, lognormal(width, 0.8)), width * 6);
    job.TaskCount = std::uint32_t(tasks);
    job.TasksLeft = job.TaskCount;
    for (std::uint32_t k = 0; k < job.TasksLeft; ++k) {
      job.IdleTasks.push_back(k);
    }
    job.MilliProcessors = std::int64_t(
        std::min(15.0, std::max(0.3, lognormal(queue.Cores, 0.4))) * 1000);
    const double seconds =
        std::min(2.5, std::max(0.2, lognormal(1, 0.5))) * queue.Seconds;
    job.TaskTime = Milliseconds(std::int64_t(seconds * 1000));
    const Milliseconds target(queue.TargetMs);
    job.Objective =
        Milliseconds(std::int64_t(queue.Stretch * seconds * 1000)) + target;
    job.Slack = job.Objective - job.TaskTime;
    return job;
  }

  double lognormal(double mean, double spread) {
    const double sigma = std::sqrt(std::log(1 + spread * spread));
    return std::lognormal_distribution<double>(
        std::log(mean) - sigma * sigma / 2, sigma)(Engine);
  }

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Engine);
  }

private:
  /// Jobs of each queue that are drawn to find its mean work.
  static constexpr int Samples = 20'000;

  std::vector<ModelQueue> Queues;
  std::mt19937_64 Engine;
  double Scale = 1;
};

} // namespace masticwinch::benchmarks
