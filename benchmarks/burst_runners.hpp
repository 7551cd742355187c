#pragma once

#include "benchmarks/burst_world.hpp"
#include <algorithm>
#include <random>

namespace masticwinch::benchmarks {

/// The runners: they carry out starts and stops, and answer a poll when a run
/// has ended or its time is over.
class BurstRunners {
public:
  explicit BurstRunners(BurstWorld &world) : World(world) {}

  /// Begins a run unless an earlier start order did, and answers the order.
  void beginRun(std::uint32_t id, std::uint32_t attempt) {
    BurstRun &run = World.Runs[id];
    if (!run.HasBegun && !run.HasEnded) {
      run.HasBegun = true;
      run.Begin = World.Now;
      const double mean = double(World.Jobs[run.Job].TaskTime.count()) / 1000;
      std::normal_distribution<double> factor(1, 0.15);
      World.add(mean * std::max(0.5, factor(World.Engine)), Kind::RunEnds, id);
    }
    World.send({MessageKind::StartAnswer, id, attempt, World.Now, {}});
  }

  /// Ends a run by itself or, if `isDone` is false, by a stop.
  void endRun(std::uint32_t id, bool isDone) {
    BurstRun &run = World.Runs[id];
    if (run.HasEnded) {
      return;
    }
    run.HasEnded = true;
    run.IsDone = isDone;
    BurstJob &job = World.Jobs[run.Job];
    const double used = (run.HasBegun ? World.Now - run.Begin : 0) *
                        double(job.MilliProcessors) / 1000;
    if (isDone) {
      job.CoreSecondsUsed += used;
    } else {
      World.Outcome.ThrownAway += used;
    }
    BurstRunner &runner = World.Fleet.at(run.Runner);
    runner.Ended.push_back(id);
    if (runner.HeldPoll != 0) {
      report(run.Runner, std::exchange(runner.HeldPoll, 0));
    }
  }

  /// Answers a poll at once if runs have ended, otherwise holds it.
  void receivePoll(std::uint32_t id, std::uint32_t poll) {
    BurstRunner &runner = World.Fleet.at(id);
    std::erase_if(runner.Ended, [this](std::uint32_t it) {
      return World.Runs[it].IsReleased;
    });
    if (!runner.Ended.empty()) {
      report(id, poll);
      return;
    }
    runner.HeldPoll = poll;
    World.add(World.Options.Orders.PollWait, Kind::PollWaitOver, id, poll);
  }

  /// Answers a held poll whose time is over.
  void endPollWait(std::uint32_t id, std::uint32_t poll) {
    BurstRunner &runner = World.Fleet.at(id);
    if (runner.HeldPoll == poll) {
      runner.HeldPoll = 0;
      report(id, poll);
    }
  }

private:
  using Kind = BurstEventKind;

  /// Sends the ends that the leader has not confirmed.
  void report(std::uint32_t id, std::uint32_t poll) {
    World.send(
        {MessageKind::Report, id, poll, World.Now, World.Fleet.at(id).Ended});
  }

  BurstWorld &World;
};

} // namespace masticwinch::benchmarks
