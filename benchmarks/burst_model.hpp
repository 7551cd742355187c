#pragma once

#include "benchmarks/burst_callers.hpp"
#include "benchmarks/burst_leader.hpp"
#include "benchmarks/burst_runners.hpp"
#include "benchmarks/burst_world.hpp"
#include <utility>

namespace masticwinch::benchmarks {

/// Discrete-event simulation of a cell under a burst: callers that send again,
/// a leader that serves one message or pass at a time at a finite speed, and
/// runners whose answers wait in its queue. Admission and ranking are the
/// library's. Gangs, advice, memory and faults are left out.
class BurstModel {
public:
  explicit BurstModel(const BurstOptions &options)
      : World(options), Callers(World), Runners(World), Leader(World) {
    const auto bins =
        std::size_t((options.End + options.WarmUp) / BurstBinSeconds);
    World.Outcome.Goodput.resize(bins);
    World.Outcome.JobsOnTime.resize(bins);
    for (std::uint32_t i = 0; i < World.Source.queueCount(); ++i) {
      World.add(World.Source.gap(i, 1), BurstEventKind::Arrival, i);
    }
    for (std::uint32_t i = 0; i < World.Fleet.size(); ++i) {
      World.add(World.uniform(), BurstEventKind::PollDue, i);
    }
    World.add(0, BurstEventKind::PassDue);
  }

  BurstOutcome run() {
    while (!World.Events.isEmpty()) {
      const BurstEvent event = World.Events.take();
      if (event.At >= World.Options.End) {
        break;
      }
      World.Now = event.At;
      handle(event);
    }
    for (const BurstJob &it : World.Jobs) {
      const bool past = World.Options.End > it.FirstSent + it.patience();
      if (it.Worthless && (it.Phase == JobPhase::Done || past)) {
        World.Outcome.ThrownAway += it.CoreSecondsUsed;
      }
    }
    World.Outcome.LargestQueue = Leader.largestQueue();
    return World.Outcome;
  }

private:
  using Kind = BurstEventKind;

  void handle(const BurstEvent &it) {
    switch (it.Kind) {
    case Kind::Arrival:
      return Callers.arrive(it.Subject);
    case Kind::CallerSends:
      return Callers.beginCall(it.Subject);
    case Kind::EntryResends:
      return Callers.resendCall(it.Subject, it.Number);
    case Kind::CallerGivesUp:
      return Callers.giveUp(it.Subject);
    case Kind::AnswerOk:
      return Callers.answerOk(it.Subject, it.Number);
    case Kind::AnswerRefused:
      return Callers.answerRefused(it.Subject, it.Number, it.Value);
    case Kind::StatusDue:
      return Callers.askStatus(it.Subject);
    case Kind::MessageArrives:
      return Leader.receive(std::move(World.Sent[it.Subject]));
    case Kind::LeaderFree:
      return Leader.finishService();
    case Kind::PassDue:
      return Leader.serve();
    case Kind::AcceptStored:
      return Leader.acceptStored(it.Subject);
    case Kind::StartExpires:
      return Leader.expireStart(it.Subject, it.Number);
    case Kind::PollDue:
      return Leader.sendPoll(it.Subject);
    case Kind::PollExpires:
      return Leader.expirePoll(it.Subject, it.Number);
    case Kind::RunBegins:
      return Runners.beginRun(it.Subject, it.Number);
    case Kind::RunEnds:
      return Runners.endRun(it.Subject, true);
    case Kind::RunStops:
      return Runners.endRun(it.Subject, false);
    case Kind::PollArrives:
      return Runners.receivePoll(it.Subject, it.Number);
    case Kind::PollWaitOver:
      return Runners.endPollWait(it.Subject, it.Number);
    }
  }

  BurstWorld World;
  BurstCallers Callers;
  BurstRunners Runners;
  BurstLeader Leader;
};

} // namespace masticwinch::benchmarks
