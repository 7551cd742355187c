#pragma once

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "benchmarks/account_load.hpp"
#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch::benchmarks {

/// A queue and the workload submitted to it.
struct ModelQueue {
  std::string Name;
  double PerSecond = 0;
  double Steps = 1;
  double Tasks = 1;
  double Seconds = 1;
  double Cores = 1;
  double GangShare = 0;
  std::uint32_t Priority = 0;
  std::uint32_t TargetMs = 250;
  double Stretch = 1.5;
  double AdviceMs = 0;
  double AdvicePerRunnerMs = 0;
  double ApprovedShare = 1;
  double Value = 1;
  /// Factor of the arrival rate from second BurstBegin to second BurstEnd.
  double BurstFactor = 1;
  double BurstBegin = 0;
  double BurstEnd = 0;
  double MemoryMb = 0;
  std::uint32_t TicketMs = 1500;
  /// Largest relative error of the stated run times.
  double EstimateError = 0;
  /// Share of the runs that fail; a gang ends with its first failed member.
  double FailedShare = 0;
  /// Callers that submit again when their last submission has ended or, after
  /// a while, was refused; they take the place of PerSecond.
  std::size_t Callers = 0;
};

struct ModelOptions {
  std::vector<ModelQueue> Queues;
  AccountLoad Accounts;
  std::size_t Runners = 48;
  std::size_t Agents = 11;
  double CoresPerRunner = 32;
  double MemoryMbPerRunner = 1'000'000;
  /// Speeds of the runners, in turn. A gang runs at that of its slowest one.
  std::vector<double> Speeds{1};
  double Seconds = 30;
  std::uint64_t Seed = 1;
  workflow::WorkflowLeaderOptions Leader;
  /// Seconds at which the leader is lost; another one takes over after
  /// `LeaderlessSeconds`, with what is stored.
  std::vector<double> LeaderLostAt;
  double LeaderlessSeconds = 1.5;
  /// Share of the runners that leave at second `RunnersLeaveAt`, with what they
  /// run.
  double LeavingShare = 0;
  double RunnersLeaveAt = 0;
};

/// Work of a submission in core-milliseconds, and whether it was served: on
/// time or late.
struct ModelServed {
  std::uint64_t Work = 0;
  bool Served = false;
  std::size_t Account = 0;
};

/// Share served of the submissions between two ranks of size; 0 is the rank of
/// the largest, 1 that of the smallest.
inline double servedShare(std::vector<ModelServed> submissions, double from,
                          double to) {
  std::stable_sort(
      submissions.begin(), submissions.end(),
      [](const auto &a, const auto &b) { return a.Work > b.Work; });
  const auto first = std::size_t(double(submissions.size()) * from);
  const auto last = std::size_t(double(submissions.size()) * to);
  std::size_t served = 0;
  for (std::size_t i = first; i < last; ++i) {
    served += submissions[i].Served ? 1 : 0;
  }
  return last > first ? double(served) / double(last - first) : 0;
}

/// Outcome of the submissions to one queue.
struct ModelOutcome {
  std::size_t Arrived = 0;
  std::size_t OnTime = 0;
  std::size_t Late = 0;
  std::size_t TooLate = 0;
  std::size_t Refused = 0;
  std::vector<double> StartMs;

  ModelOutcome &operator+=(const ModelOutcome &other) {
    Arrived += other.Arrived;
    OnTime += other.OnTime;
    Late += other.Late;
    TooLate += other.TooLate;
    Refused += other.Refused;
    StartMs.insert(StartMs.end(), other.StartMs.begin(), other.StartMs.end());
    return *this;
  }
};

/// Workload of a price service on a normal day: sheets of gangs,
/// reconciliations and lookups, which use 80 % of the fleet's cores times
/// `load`.
inline std::vector<ModelQueue> priceQueues(double load, double scale) {
  const double width = scale > 1 ? 2.5 : 1;
  const double rate = scale > 1 ? 1.0 : 1.0 / 3;
  return {{"sheet", 5.6 * rate * load, 1.2, 8 * width, 4, 9, 1, 1, 1000, 2.2,
           360, 5.2, 0.3, 12},
          {"recon", 15 * rate * load, 1.5, 10 * width, 2.7,
           scale > 1 ? 2.4 : 2.0, 0, 2, 3000, 4, 72, 1, 0.45, 3},
          {"lookup", 144 * rate * load, 1, scale > 1 ? 3.0 : 2.0, 0.64,
           scale > 1 ? 5.0 : 2.8, 0.3, 0, 250, 1.5, 10, 0.15, 0.7, 0.4}};
}

/// Workload of a price service with 540 runners: wide gangs whose advice is
/// slow and whose estimates are off by half, beside reconciliations and
/// lookups. Uses 88 % of the cores times `load`, with a burst of lookups and
/// one of sheets.
inline std::vector<ModelQueue> largePriceQueues(double load) {
  std::vector<ModelQueue> queues{{.Name = "sheet",
                                  .PerSecond = 9.15 * load,
                                  .Steps = 1.2,
                                  .Tasks = 20,
                                  .Seconds = 4,
                                  .Cores = 9,
                                  .GangShare = 1,
                                  .Priority = 1,
                                  .TargetMs = 1000,
                                  .Stretch = 2.2,
                                  .AdviceMs = 507,
                                  .AdvicePerRunnerMs = 7.28,
                                  .ApprovedShare = 0.3,
                                  .Value = 6.83,
                                  .MemoryMb = 26'000,
                                  .TicketMs = 2000,
                                  .EstimateError = 0.5,
                                  .FailedShare = 0.005},
                                 {.Name = "recon",
                                  .PerSecond = 12.2 * load,
                                  .Steps = 1.5,
                                  .Tasks = 19,
                                  .Seconds = 2.7,
                                  .Cores = 5.5,
                                  .Priority = 2,
                                  .TargetMs = 3000,
                                  .Stretch = 4,
                                  .AdviceMs = 182,
                                  .AdvicePerRunnerMs = 2.6,
                                  .ApprovedShare = 0.45,
                                  .Value = 3.19,
                                  .MemoryMb = 20'000,
                                  .TicketMs = 2000,
                                  .EstimateError = 0.2,
                                  .FailedShare = 0.02},
                                 {.Name = "lookup",
                                  .PerSecond = 135 * load,
                                  .Steps = 1,
                                  .Tasks = 3.1,
                                  .Seconds = 0.64,
                                  .Cores = 7.9,
                                  .GangShare = 0.3,
                                  .Priority = 0,
                                  .TargetMs = 250,
                                  .Stretch = 1.5,
                                  .AdviceMs = 16.9,
                                  .AdvicePerRunnerMs = 0.234,
                                  .ApprovedShare = 0.7,
                                  .Value = 0.404,
                                  .MemoryMb = 23'000,
                                  .TicketMs = 2000,
                                  .EstimateError = 0.2,
                                  .FailedShare = 0.005}};
  queues[0].BurstFactor = 1.9;
  queues[0].BurstBegin = 20;
  queues[0].BurstEnd = 24;
  queues[2].BurstFactor = 2;
  queues[2].BurstBegin = 4;
  queues[2].BurstEnd = 8;
  return queues;
}

/// Options of a model with 540 runners and the workload above.
inline ModelOptions largePriceModel(double load, std::uint64_t seed) {
  ModelOptions options;
  options.Queues = largePriceQueues(load);
  options.Runners = 540;
  options.Agents = 97;
  options.MemoryMbPerRunner = 131'072;
  options.Speeds = {0.8, 1, 1.25};
  options.Seconds = 34;
  options.Seed = seed;
  return options;
}

} // namespace masticwinch::benchmarks
