#pragma once

#include "masticwinch/coordination/placement/placer.hpp"

#include <fmt/format.h>

#include <functional>
#include <queue>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace masticwinch::bench {

/// Simulated workers that answer the placer's calls at once. `runTime` gives
/// the run time of each task.
class Fleet {
public:
  using RunTime = std::function<Milliseconds(const placement::AttemptId &)>;

  Fleet(placement::Placer &placer, RunTime runTime)
      : Leader(placer), RunTimeOf(std::move(runTime)) {}

  void announce(std::size_t count, const placement::Resources &capacity,
                SteadyTime now) {
    Workers.resize(count);
    for (std::size_t it = 0; it < count; ++it) {
      const std::size_t rack = it / 8;
      Leader.announceWorker({fmt::format("vm-{}", it), "",
                             fmt::format("rack-{}", rack),
                             fmt::format("dc-{}", rack % 37), capacity},
                            now);
    }
  }

  /// Ends the tasks that are due and requests calls to their workers.
  void advance(SteadyTime now) {
    while (!Ends.empty() && Ends.top().At <= now) {
      const End end = Ends.top();
      Ends.pop();
      for (placement::TaskReport &it : Workers[end.Vm].Tasks) {
        const bool runs = it.State == placement::ReportedState::Running;
        if (it.Id.Number == end.Attempt && runs) {
          it.State = end.State;
          it.Checkpoint = end.Checkpoint;
          Leader.requestWorkerCall(fmt::format("vm-{}", end.Vm), now);
        }
      }
    }
  }

  void answer(const placement::WorkerCall &call, SteadyTime now) {
    placement::WorkerAnswer &state = Workers[call.Worker];
    state.Reading = {1, static_cast<std::uint64_t>(now.time_since_epoch() /
                                                   Milliseconds(1))};
    for (const placement::AttemptId &it : call.Forgets) {
      std::erase_if(state.Tasks, [&](const placement::TaskReport &task) {
        return task.Id.Number == it.Number;
      });
      StartedAt.erase(it.Number);
      Stopping.erase(it.Number);
    }
    for (const placement::StopOrder &it : call.Stops) {
      stop(call.Worker, it, now);
    }
    for (const placement::StartOrder &it : call.Starts) {
      placement::TaskReport task;
      task.Id = it.Id;
      task.Given = it.Amount;
      const Milliseconds done(
          it.ResumeCheckpoint.empty() ? 0 : std::stoll(it.ResumeCheckpoint));
      StartedAt[it.Id.Number] = now - done;
      Ends.push({now + RunTimeOf(it.Id) - done, call.Worker, it.Id.Number,
                 placement::ReportedState::Finished, ""});
      state.Tasks.push_back(std::move(task));
    }
    Leader.workerAnswered(placement::keyOf(call), state, now);
  }

private:
  struct End {
    SteadyTime At;
    placement::WorkerIndex Vm = 0;
    std::uint64_t Attempt = 0;
    placement::ReportedState State = placement::ReportedState::Finished;
    std::string Checkpoint;
    bool operator>(const End &other) const { return At > other.At; }
  };

  /// A task uses its whole grace period to stop. Its checkpoint is the time
  /// that it has run, in milliseconds.
  void stop(placement::WorkerIndex vm, const placement::StopOrder &order,
            SteadyTime now) {
    if (!Stopping.insert(order.Id.Number).second) {
      return;
    }
    const auto ran = (now - StartedAt[order.Id.Number]) / Milliseconds(1);
    Ends.push({now + order.Grace, vm, order.Id.Number,
               placement::ReportedState::Stopped,
               order.Checkpoint ? std::to_string(ran) : std::string()});
  }

  placement::Placer &Leader;
  RunTime RunTimeOf;
  std::vector<placement::WorkerAnswer> Workers;
  std::unordered_map<std::uint64_t, SteadyTime> StartedAt;
  std::unordered_set<std::uint64_t> Stopping;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
};

} // namespace masticwinch::bench
