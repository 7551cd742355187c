#pragma once

#include "benchmarks/burst_world.hpp"
#include <algorithm>
#include <cmath>

namespace masticwinch::benchmarks {

/// Callers and the entry VMs that pass on their calls. An unanswered call is
/// sent again; a refused caller waits as long as it was told; a caller whose
/// patience is over may return with the same work.
class BurstCallers {
public:
  explicit BurstCallers(BurstWorld &world) : World(world) {}

  /// Draws a job that arrives at a caller, and the time of the next.
  void arrive(std::uint32_t queue) {
    const bool burst = World.Now >= World.Options.BurstBegin &&
                       World.Now < World.Options.BurstEnd;
    World.add(World.Source.gap(queue, burst ? World.Options.BurstFactor : 1),
              Kind::Arrival, queue);
    addJob(World.Source.draw(queue));
  }

  /// Begins a call of a caller that still waits.
  void beginCall(std::uint32_t id) {
    BurstJob &job = World.Jobs[id];
    if (job.CallerGone) {
      return;
    }
    ++job.Call;
    job.CallBegan = World.Now;
    job.CallOpen = true;
    sendSubmit(id);
  }

  /// Sends an unanswered call again, or ends it after the answer time-out.
  void resendCall(std::uint32_t id, std::uint32_t call) {
    BurstJob &job = World.Jobs[id];
    if (!job.CallOpen || job.Call != call || job.CallerGone) {
      return;
    }
    if (World.Now - job.CallBegan < World.Options.Calls.AnswerTimeout - 1e-6) {
      sendSubmit(id);
      return;
    }
    job.CallOpen = false;
    World.Outcome.TimedOut += 1;
    const double backoff =
        std::min(World.Options.Calls.MaxBackoff,
                 World.Options.Calls.Backoff * std::pow(2.0, job.TimeOuts));
    ++job.TimeOuts;
    sendAgain(id, backoff * (0.5 + World.uniform()));
  }

  /// The caller's patience is over; it may send the same work as a new job.
  void giveUp(std::uint32_t id) {
    BurstJob &job = World.Jobs[id];
    if (job.Phase == JobPhase::Done) {
      return;
    }
    job.CallerGone = true;
    job.CallOpen = false;
    if (job.Returned >= World.Options.Calls.Returns) {
      return;
    }
    BurstJob again;
    again.Queue = job.Queue;
    again.Priority = job.Priority;
    again.MilliProcessors = job.MilliProcessors;
    again.TaskTime = job.TaskTime;
    again.Slack = job.Slack;
    again.Objective = job.Objective;
    again.Returned = job.Returned + 1;
    again.TasksLeft = job.TaskCount;
    for (std::uint32_t i = 0; i < job.TaskCount; ++i) {
      again.IdleTasks.push_back(i);
    }
    again.TaskCount = job.TaskCount;
    addJob(std::move(again));
  }

  /// Handles that the leader has accepted the job.
  void answerOk(std::uint32_t id, std::uint32_t call) {
    BurstJob &job = World.Jobs[id];
    if (job.Call == call && job.CallOpen) {
      job.CallOpen = false;
      World.add(World.Options.Calls.StatusInterval, Kind::StatusDue, id);
    }
  }

  /// Handles a refusal; the caller waits `after` seconds.
  void answerRefused(std::uint32_t id, std::uint32_t call, double after) {
    BurstJob &job = World.Jobs[id];
    if (job.Call == call && job.CallOpen) {
      job.CallOpen = false;
      sendAgain(id, after);
    }
  }

  /// Asks for the state of an accepted job, and again after the interval.
  void askStatus(std::uint32_t id) {
    const BurstJob &job = World.Jobs[id];
    if (job.Phase == JobPhase::Done || job.CallerGone) {
      return;
    }
    World.send({MessageKind::Status, id, job.Call, World.Now, {}});
    World.add(World.Options.Calls.StatusInterval, Kind::StatusDue, id);
  }

private:
  using Kind = BurstEventKind;

  /// Sends a job for the first time.
  void addJob(BurstJob job) {
    const auto id = std::uint32_t(World.Jobs.size());
    job.FirstSent = World.Now;
    World.add(job.patience(), Kind::CallerGivesUp, id);
    World.Jobs.push_back(std::move(job));
    beginCall(id);
  }

  /// The entry VM sends the call to the leader.
  void sendSubmit(std::uint32_t id) {
    World.send({MessageKind::Submit, id, World.Jobs[id].Call, World.Now, {}});
    World.add(World.Options.Calls.ResendAfter, Kind::EntryResends, id,
              World.Jobs[id].Call);
  }

  /// The caller sends again after a wait, in seconds.
  void sendAgain(std::uint32_t id, double after) {
    if (World.Options.Calls.Resends) {
      World.add(after, Kind::CallerSends, id);
    }
  }

  BurstWorld &World;
};

} // namespace masticwinch::benchmarks
