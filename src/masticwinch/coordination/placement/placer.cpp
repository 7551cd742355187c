#include "masticwinch/coordination/placement/placer.hpp"

#include "masticwinch/coordination/placement/internal/drainer.hpp"
#include "masticwinch/coordination/placement/internal/explainer.hpp"
#include "masticwinch/coordination/placement/internal/gang_planner.hpp"
#include "masticwinch/coordination/placement/internal/maintenance.hpp"
#include "masticwinch/coordination/placement/internal/placer_state.hpp"
#include "masticwinch/coordination/placement/internal/reconciler.hpp"
#include "masticwinch/coordination/placement/internal/record_keeper.hpp"
#include "masticwinch/coordination/placement/internal/scheduler.hpp"

#include <set>

namespace masticwinch::placement {

namespace {

/// Interval at which VMs that are being drained are examined.
constexpr Milliseconds DrainInterval{200};

} // namespace

struct Placer::Parts {
  explicit Parts(const PlacerSettings &settings)
      : State(settings), Reconcile(State), Schedule(State), Gangs(State),
        Maintain(State), Drain(State) {}

  internal::PlacerState State;
  internal::Reconciler Reconcile;
  internal::Scheduler Schedule;
  internal::GangPlanner Gangs;
  internal::Maintenance Maintain;
  internal::Drainer Drain;
  std::set<std::string, std::less<>> DrainingNames;
  SteadyTime NextDrain{};
};

CallKey keyOf(const WorkerCall &call) {
  return {call.Grant.Epoch, call.Worker, call.Grant.Sequence};
}

Placer::Placer(const PlacerSettings &settings, std::uint64_t epoch,
               SteadyTime now)
    : Impl(std::make_unique<Parts>(settings)) {
  internal::PlacerState &state = Impl->State;
  state.Epoch = epoch;
  state.Now = now;
  state.WithheldUntil = now + settings.Lease.maxDurationOnGranterClock() +
                        settings.Lease.LeadershipOverlap;
}

Placer::~Placer() = default;

void Placer::addJob(const JobTerms &terms, const JobHistory &history,
                    bool fromEarlierLeader, SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  if (state.findJob(terms.Id) != NoIndex) {
    return;
  }
  const JobIndex index = state.addJob(terms, history);
  internal::Job &job = state.Jobs[index];
  state.notice(PlacementEvent::JobAccepted, index);
  if (fromEarlierLeader && now <= state.WithheldUntil) {
    job.Withheld = true;
    job.Reason = WaitReason::LeaderChange;
    state.WithheldJobs.insert(index);
    return;
  }
  if (job.Terms.Cancelled) {
    state.CancelledJobs.push_back(index);
  }
  state.checkFeasibility(index);
  state.refreshQueue(index);
  state.endJobIfDone(index);
}

void Placer::cancelJob(std::string_view id, SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  const JobIndex index = state.findJob(id);
  if (index == NoIndex || state.Jobs[index].Terms.Cancelled) {
    return;
  }
  state.Jobs[index].Terms.Cancelled = true;
  state.notice(PlacementEvent::JobCancelled, index);
  state.dropReservation(index);
  state.refreshQueue(index);
  if (!state.Jobs[index].Withheld) {
    state.CancelledJobs.push_back(index);
  }
}

void Placer::setTeam(std::string_view name, const TeamTerms &terms,
                     SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  state.Teams.set(name, terms);
  state.Dirty = true;
  state.checkAllFeasibility();
}

void Placer::announceWorker(const WorkerDescription &description,
                            SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  WorkerIndex vm = state.findWorker(description.Name);
  if (vm == NoIndex) {
    vm = state.addWorker(description);
    if (Impl->DrainingNames.contains(description.Name)) {
      setDraining(description.Name, true, now);
    }
    return;
  }
  internal::Worker &worker = state.Workers[vm];
  worker.Description.Address = description.Address;
  worker.AnnouncedCapacity = description.Capacity;
}

void Placer::requestWorkerCall(std::string_view name, SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  const WorkerIndex vm = state.findWorker(name);
  if (vm != NoIndex) {
    state.callAt(vm, now);
  }
}

void Placer::setDraining(std::string_view name, bool draining, SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  if (draining) {
    Impl->DrainingNames.emplace(name);
  } else {
    Impl->DrainingNames.erase(std::string(name));
  }
  const WorkerIndex vm = state.findWorker(name);
  if (vm == NoIndex || state.Workers[vm].Draining == draining) {
    return;
  }
  state.Workers[vm].Draining = draining;
  if (draining) {
    state.DrainingVms.insert(vm);
    if (state.Workers[vm].ReservedFor != NoIndex) {
      state.dropReservation(state.Workers[vm].ReservedFor);
    }
  } else {
    state.DrainingVms.erase(vm);
    Impl->Drain.drainEnded(vm);
  }
  state.updateSchedulable(vm);
}

void Placer::workerAnswered(const CallKey &key, const WorkerAnswer &answer,
                            SteadyTime now) {
  Impl->State.Now = now;
  if (key.Epoch == Impl->State.Epoch) {
    Impl->Reconcile.handleAnswer(key.Worker, key.Sequence, answer);
  }
}

void Placer::workerRefused(const CallKey &key, SteadyTime now) {
  Impl->State.Now = now;
  if (key.Epoch == Impl->State.Epoch) {
    Impl->Reconcile.callRefused(key.Worker, key.Sequence);
  }
}

void Placer::workerFailed(const CallKey &key, SteadyTime now) {
  Impl->State.Now = now;
  if (key.Epoch == Impl->State.Epoch) {
    Impl->Reconcile.callFailed(key.Worker, key.Sequence);
  }
}

std::optional<Explanation> Placer::explain(std::string_view job) const {
  return internal::explainJob(Impl->State, job);
}

std::vector<WorkerSummary> Placer::workers() const {
  return internal::summarizeWorkers(Impl->State);
}

std::optional<WorkerSummary> Placer::worker(std::string_view name) const {
  const WorkerIndex vm = Impl->State.findWorker(name);
  if (vm == NoIndex) {
    return std::nullopt;
  }
  return internal::summarizeWorker(Impl->State, vm);
}

void Placer::verify() const {
  std::vector<Holding> holdings;
  for (const internal::Attempt &it : Impl->State.Attempts) {
    if (it.Vm != NoIndex) {
      holdings.push_back({it.Vm, it.Amount});
    }
  }
  Impl->State.Account.verify(holdings);
}

std::size_t Placer::waitingJobs() const { return Impl->State.Queue.size(); }

std::size_t Placer::activeAttempts() const {
  return Impl->State.Attempts.size() - Impl->State.FreeAttempts.size();
}

const Resources &Placer::totalCapacity() const {
  return Impl->State.Account.totalCapacity();
}

const Resources &Placer::largestVm() const { return Impl->State.LargestVm; }

const Resources &Placer::totalReserved() const {
  return Impl->State.Account.totalReserved();
}

StepEffects Placer::step(SteadyTime now) {
  internal::PlacerState &state = Impl->State;
  state.Now = now;
  Impl->Maintain.run();
  if (!state.DrainingVms.empty() && now >= Impl->NextDrain) {
    Impl->NextDrain = now + DrainInterval;
    Impl->Drain.run();
  }
  if (!state.Reservations.empty()) {
    Impl->Gangs.reviewReservations();
  }
  if (state.Dirty) {
    Impl->Schedule.run();
  }
  StepEffects effects;
  effects.Calls = Impl->Reconcile.makeDueCalls();
  effects.Records = internal::takeRecords(state);
  effects.Notices = std::move(state.Notices);
  state.Notices.clear();
  return effects;
}

void Placer::recorded(std::uint64_t batch, SteadyTime now) {
  Impl->State.Now = now;
  internal::recordsDurable(Impl->State, batch);
}

void Placer::recordingFailed(std::uint64_t batch, SteadyTime now) {
  Impl->State.Now = now;
  internal::recordsUncertain(Impl->State, batch);
}

} // namespace masticwinch::placement
