#pragma once

#include "masticwinch/coordination/placement/placer.hpp"

#include "benchmarks/capacity_measure.hpp"
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace masticwinch::capacity {

/// A placer whose workers answer every call at once and whose tasks run until
/// the end of the measurement.
class LoadedPlacer {
public:
  explicit LoadedPlacer(std::size_t workers)
      : Leader(settings(), 1, Now), Workers(workers) {
    for (std::size_t i = 0; i < workers; ++i) {
      constexpr std::size_t WorkersPerRack = 8;
      constexpr std::size_t RacksPerDataCenter = 54;
      const std::size_t rack = i / WorkersPerRack;
      Leader.announceWorker(
          {fmt::format("worker-{}", i), fmt::format("10.0.0.1:{}", i),
           fmt::format("rack-{}", rack),
           fmt::format("dc-{}", rack / RacksPerDataCenter), Capacity},
          Now);
    }
    settle();
  }

  /// Submits jobs of 100 tasks until every worker has `TasksPerWorker`, and
  /// runs steps until all have started.
  void fill() {
    constexpr std::uint32_t TasksPerJob = 100;
    const std::size_t tasks = Workers.size() * TasksPerWorker;
    for (std::size_t i = 0; i < tasks / TasksPerJob; ++i) {
      placement::JobTerms terms;
      terms.Id = fmt::format("job-{}", i);
      terms.Profile = "batch";
      terms.Team = fmt::format("team-{}", i % Teams);
      terms.PerTask = Request;
      terms.Tasks = TasksPerJob;
      Leader.addJob(terms, {}, false, Now);
    }
    std::size_t before = 0;
    do {
      before = Leader.activeAttempts();
      step();
    } while (Leader.activeAttempts() > before);
    settle();
    if (Leader.activeAttempts() != tasks) {
      throw std::runtime_error("not all tasks were placed");
    }
  }

  /// Renews every worker's lease once; returns the number of calls.
  std::size_t pollAllWorkers() {
    Now += placement::LeaseSettings().RenewInterval;
    return settle();
  }

  static constexpr std::size_t TasksPerWorker = 25;

private:
  static constexpr std::size_t Teams = 1200;
  static constexpr placement::Resources Capacity{32'000, 131'072, 0};
  static constexpr placement::Resources Request{1'000, 4'096, 0};

  static placement::PlacerSettings settings() { return {}; }

  /// Runs one step and answers its calls; returns their number.
  std::size_t step() {
    const placement::StepEffects effects = Leader.step(Now);
    if (!effects.Records.empty()) {
      Leader.recorded(effects.Records.Id, Now);
    }
    for (const placement::WorkerCall &call : effects.Calls) {
      answer(call);
    }
    return effects.Calls.size();
  }

  std::size_t settle() {
    std::size_t calls = 0;
    while (const std::size_t more = step()) {
      calls += more;
    }
    return calls;
  }

  void answer(const placement::WorkerCall &call) {
    placement::WorkerAnswer &state = Workers[call.Worker];
    state.Reading.Incarnation = 1;
    state.Reading.ClockMs = static_cast<std::uint64_t>(
        Now.time_since_epoch() / std::chrono::milliseconds(1));
    for (const placement::StartOrder &it : call.Starts) {
      placement::TaskReport report;
      report.Id = it.Id;
      report.Given = it.Amount;
      report.Used = {it.Amount.MilliProcessors * 3 / 4,
                     it.Amount.MemoryMib * 3 / 4, 0};
      state.Tasks.push_back(std::move(report));
    }
    Leader.workerAnswered(placement::keyOf(call), state, Now);
  }

  SteadyTime Now = SteadyTime() + std::chrono::hours(1);
  placement::Placer Leader;
  std::vector<placement::WorkerAnswer> Workers;
};

/// Measures memory and processor time of placement at three fleet sizes.
inline void measurePlacer() {
  std::vector<Sample> workerMemory;
  std::vector<Sample> taskMemory;
  std::vector<Sample> startTimes;
  std::vector<Sample> pollTimes;
  for (std::size_t workers : {1000U, 4000U, 16000U}) {
    const double tasks = double(workers * LoadedPlacer::TasksPerWorker);
    const double heapBefore = heapBytes();
    LoadedPlacer placer(workers);
    const double heapAnnounced = heapBytes();
    const double beforeFill = processorMicroseconds();
    placer.fill();
    const double filled = processorMicroseconds();
    workerMemory.push_back({double(workers), heapAnnounced - heapBefore});
    taskMemory.push_back({tasks, heapBytes() - heapAnnounced});
    startTimes.push_back({tasks, filled - beforeFill});
    const double beforeRound = processorMicroseconds();
    const std::size_t calls = placer.pollAllWorkers();
    pollTimes.push_back({double(calls), processorMicroseconds() - beforeRound});
  }
  printSamples("placer_worker_memory", workerMemory, "bytes", "worker");
  printSamples("placer_task_memory", taskMemory, "bytes", "task");
  printSamples("placer_start_time", startTimes, "us", "task");
  printSamples("placer_poll_time", pollTimes, "us", "poll");
}

} // namespace masticwinch::capacity
