#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// Gives wide gangs their turns to gather. Those whose runners aren't known yet
/// ask for one later.
void WorkflowLeader::giveTurns(const std::vector<RankedStep> &ranked,
                               const Fleet &fleet, SteadyTime now) {
  std::vector<GangTurnRequest> requests;
  for (const RankedStep &it : ranked) {
    const OpenStep &open = OpenSteps.at(*it.Key);
    const protocol::StepSpec &spec = open.Parent->Spec.steps(int(it.Key->Step));
    if (!spec.gang() || it.Rank.Forecast != CompletionForecast::OnTime ||
        !Turns.isWide(std::int64_t(spec.count()) *
                          needsOf(spec).MilliProcessors,
                      fleet.GatherableProcessors)) {
      continue;
    }
    const protocol::QueueConfig *queue =
        State.findQueue(open.Parent->Spec.queue());
    if (queue && (!queue->has_advice() || Advice.hasAnswer(*it.Key))) {
      requests.push_back({*it.Key, it.Rank.Slack});
    }
  }
  Turns.update(
      std::move(requests), Registry.runners().size(),
      [this](const StepKey &key) {
        const auto open = OpenSteps.find(key);
        return open != OpenSteps.end() &&
               startableBelowCap(key, open->second) > 0;
      },
      now);
}

/// Subtracts the claims of the last pass from the free resources, as far as
/// they are still there.
void WorkflowLeader::restoreClaims(Fleet &fleet) {
  Claims.beginPass([&](const StepKey &key) {
    const auto open = OpenSteps.find(key);
    return open != OpenSteps.end() && startableBelowCap(key, open->second) > 0;
  });
  Claims.reduce([&](const std::string &id, const ResourceAmounts &needs,
                    std::size_t places) -> std::size_t {
    const RunnerEntry *runner = Registry.find(id);
    std::size_t kept = 0;
    while (runner && kept < places && fleet.freeOn(*runner).canFit(needs)) {
      fleet.Claimed[runner] += needs;
      ++kept;
    }
    return kept;
  });
}

/// Lends what gangs hold that can't start yet. One whose room is long in coming
/// keeps it: a borrower may take longer than it states.
void WorkflowLeader::lendClaims(Fleet &fleet, SteadyTime now) const {
  for (const auto &[key, claim] : Claims.all()) {
    if (!claim.ReadyAt || now - claim.Since >= Options.LendFor) {
      continue;
    }
    for (const auto &[id, places] : claim.Places) {
      Fleet::Loan loan{*claim.ReadyAt, {}};
      for (std::size_t i = 0; i < places; ++i) {
        loan.Amounts += claim.Needs;
      }
      if (const RunnerEntry *runner = Registry.find(id); runner && places > 0) {
        fleet.Loans[runner].push_back(loan);
      }
    }
  }
}

/// Returns what the step has claimed to the free resources of the pass.
std::optional<GangClaim> WorkflowLeader::releaseClaim(const StepKey &key,
                                                      Fleet &fleet) const {
  const GangClaim *claim = Claims.find(key);
  if (!claim) {
    return std::nullopt;
  }
  for (const auto &[id, places] : claim->Places) {
    for (std::size_t i = 0; i < places; ++i) {
      fleet.Claimed.at(Registry.find(id)) -= claim->Needs;
    }
  }
  return *claim;
}

/// Places for the gang's tasks, as many as there are: first on the runners
/// where it holds some, then on those with valid tickets.
std::vector<PlannedRun> WorkflowLeader::gatherable(
    const StepKey &key, const std::vector<std::uint32_t> &tasks,
    const std::optional<GangClaim> &held, bool advised, const Fleet &fleet,
    const Fleet::Pool &pool, Moment at) const {
  const protocol::StepSpec &spec = *State.findSpec(key);
  std::vector<PlanCandidate> found =
      candidates(key, advised, fleet, pool, false, at);
  if (spec.same_rack()) {
    return planStep(spec, tasks, std::move(found));
  }
  std::stable_sort(found.begin(), found.end(),
                   [](const PlanCandidate &a, const PlanCandidate &b) {
                     return a.Free.MilliProcessors < b.Free.MilliProcessors;
                   });
  const auto other = std::stable_partition(
      found.begin(), found.end(), [&](const PlanCandidate &it) {
        return held && held->Places.contains(it.Runner->Info.id());
      });
  std::stable_partition(other, found.end(), [&](const PlanCandidate &it) {
    return advised && Advice.ticket(key, it.Runner->Info.id(), at.Now);
  });
  return placeInOrder(spec, tasks, std::move(found));
}

/// The runners on which the gang is expected to fit soonest; nothing if that is
/// beyond all horizons.
std::optional<GangForecast>
WorkflowLeader::expectedRoom(const StepKey &key, bool advised,
                             std::size_t tasks, const Fleet &fleet,
                             const Fleet::Pool &pool, Moment at) const {
  const protocol::StepSpec &spec = *State.findSpec(key);
  const OpenStep &open = OpenSteps.at(key);
  std::vector<const RunnerEntry *> runners;
  const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key);
  for (const RunnerEntry *it : pool.Runners) {
    const bool approved = tickets && tickets->contains(it->Info.id());
    if ((!advised || approved) && mayRun(open, spec, *it) &&
        !isKeptApart(open, spec, *it, fleet, at.Now)) {
      runners.push_back(it);
    }
  }
  return forecastGangRoom(needsOf(spec), tasks, runners, at.Now,
                          spec.max_per_runner());
}

/// Lets a gang hold processors while it gathers room, if it is expected to have
/// all its room soon and gangs before it in rank order leave as much to it, or
/// if it has a turn. One that holds some already goes on unless its room has
/// receded.
std::optional<GangForecast>
WorkflowLeader::beginGathering(const StepKey &key, bool advised,
                               std::size_t tasks, std::int64_t milliProcessors,
                               Fleet &fleet, const Fleet::Pool &pool,
                               Moment at) {
  Gathering &room = OpenSteps.at(key).Room;
  if (!Options.GatherForGangs) {
    room = Gathering::Disabled;
    return std::nullopt;
  }
  const bool holds = Claims.find(key) != nullptr;
  const std::int64_t whole =
      std::int64_t(tasks) * needsOf(*State.findSpec(key)).MilliProcessors;
  const bool exceedsShare =
      fleet.AnyGathers && whole > fleet.GatherableProcessors;
  const bool hasTurn = Turns.has(key);
  if (!hasTurn && !holds && (fleet.GatheringGangs == 0 || exceedsShare)) {
    room = exceedsShare ? Gathering::ShareUsed : Gathering::NoSlot;
    return std::nullopt;
  }
  std::optional<GangForecast> forecast =
      expectedRoom(key, advised, tasks, fleet, pool, at);
  if (!forecast ||
      (!hasTurn && !holds && forecast->Horizon > Options.GatherHorizon)) {
    room = forecast ? Gathering::TooFar : Gathering::NoForecast;
    return std::nullopt;
  }
  room = Gathering::Gathers;
  if (hasTurn) {
    return forecast;
  }
  fleet.GatheringGangs -= std::min<std::size_t>(fleet.GatheringGangs, 1);
  fleet.AnyGathers = true;
  fleet.GatherableProcessors -= milliProcessors;
  return forecast;
}

/// Holds room for a gang. One that fits holds all its room until its tickets
/// are valid; the first others in rank order gather what becomes free. Returns
/// whether the gang is expected to fit so soon that it needs no more approved
/// runners.
bool WorkflowLeader::gatherRoom(const StepKey &key,
                                const std::vector<std::uint32_t> &tasks,
                                const std::optional<GangClaim> &held,
                                bool advised, Fleet &fleet,
                                const Fleet::Pool &pool, Moment at) {
  const ResourceAmounts needs = needsOf(*State.findSpec(key));
  const std::vector<PlannedRun> planned =
      gatherable(key, tasks, held, advised, fleet, pool, at);
  std::map<std::string, std::size_t> places;
  for (const PlannedRun &it : planned) {
    ++places[it.Runner->Info.id()];
  }
  const bool complete = planned.size() == tasks.size() && !tasks.empty();
  Milliseconds horizon{0};
  std::optional<SteadyTime> readyAt;
  OpenSteps.at(key).Room = Gathering::Complete;
  if (!complete) {
    const auto forecast = beginGathering(
        key, advised, tasks.size(),
        std::int64_t(planned.size()) * needs.MilliProcessors, fleet, pool, at);
    if (!forecast) {
      Claims.remove(key, ClaimEnd::Receded);
      return false;
    }
    horizon = forecast->Horizon;
    readyAt = at.Now + horizon;
  }
  for (const PlannedRun &it : planned) {
    fleet.Claimed[it.Runner] += needs;
  }
  if (advised) {
    renewForGang(key, complete ? &places : nullptr, pool, at.Now);
  }
  Claims.update(key, needs, std::move(places), at.Now, readyAt);
  return horizon <= Options.AskMoreHorizon;
}

/// Renews the tickets of the runners on which the step fits or, if `places` is
/// null, of all its approved runners. The latter is for a gang that gathers
/// room and for a step that runners are drained for: any approved runner may be
/// the next to have room, and a gang starts only while all its tickets are
/// valid.
void WorkflowLeader::renewForGang(
    const StepKey &key, const std::map<std::string, std::size_t> *places,
    const Fleet::Pool &pool, SteadyTime now) {
  std::vector<std::string> runners;
  if (places) {
    for (const auto &[id, count] : *places) {
      runners.push_back(id);
    }
  } else {
    for (const std::string &it : Advice.approvedRunners(key)) {
      if (pool.find(it)) {
        runners.push_back(it);
      }
    }
  }
  Advice.renew(key, runners, now);
}

/// Whether the approved runners have room for several times the gang's tasks
/// when they are empty, so that it is room that is missing, not approval.
bool WorkflowLeader::hasApprovedRoom(const StepKey &key, std::size_t tasks,
                                     const Fleet::Pool &pool) const {
  const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key);
  if (!tickets) {
    return false;
  }
  const protocol::StepSpec &spec = *State.findSpec(key);
  const OpenStep &open = OpenSteps.at(key);
  std::size_t fitting = 0;
  for (const auto &[id, ticket] : *tickets) {
    const RunnerEntry *runner = pool.find(id);
    if (!runner || !mayRun(open, spec, *runner)) {
      continue;
    }
    const std::size_t fit =
        countFitting(amountsOf(runner->Info.capacity()), needsOf(spec));
    fitting += spec.max_per_runner() > 0
                   ? std::min<std::size_t>(fit, spec.max_per_runner())
                   : fit;
  }
  return fitting >= Options.EnoughApprovedRoom * tasks;
}

} // namespace masticwinch::workflow
