#pragma once

#include "benchmarks/burst_events.hpp"
#include "benchmarks/burst_fleet.hpp"
#include "benchmarks/burst_jobs.hpp"
#include "benchmarks/burst_outcome.hpp"
#include "benchmarks/burst_queue.hpp"
#include <random>
#include <utility>
#include <vector>

namespace masticwinch::benchmarks {

/// What callers, leader and runners of one run of the burst model share: the
/// simulated time in seconds, the events to come, and all jobs and runs.
struct BurstWorld {
  explicit BurstWorld(const BurstOptions &options)
      : Options(options),
        Source(options.Runners,
               options.Load * double(options.Runners) * options.CoresPerRunner,
               options.Seed),
        Engine(options.Seed), Fleet(options) {}

  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Engine);
  }

  void add(double after, BurstEventKind kind, std::uint32_t subject = 0,
           std::uint32_t number = 0, double value = 0) {
    Events.add(Now + after, kind, subject, number, value);
  }

  /// Sends a message to the leader.
  void send(Message message) {
    Sent.push_back(std::move(message));
    add(Options.Orders.OneWayDelay, BurstEventKind::MessageArrives,
        std::uint32_t(Sent.size() - 1));
  }

  BurstOptions Options;
  BurstJobs Source;
  std::mt19937_64 Engine;
  double Now = -Options.WarmUp;
  BurstEvents Events;
  BurstFleet Fleet;
  std::vector<Message> Sent;
  std::vector<BurstJob> Jobs;
  std::vector<BurstRun> Runs;
  BurstOutcome Outcome;
};

} // namespace masticwinch::benchmarks
