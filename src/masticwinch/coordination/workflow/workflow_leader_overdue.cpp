#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/pool_fit.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// When the step's work was due: when its workflow was accepted, or of one that
/// recurs, the time of the occurrence.
SteadyTime WorkflowLeader::dueAt(const StepKey &key, const OpenStep &open,
                                 Moment at) const {
  const protocol::WorkflowSpec &spec = open.Parent->Spec;
  if (spec.repeats() == 0) {
    return open.Info->Ranking.Accepted;
  }
  const std::uint64_t due = dueUnixMs(spec, key.Occurrence);
  const std::uint64_t age = at.UnixMs > due ? at.UnixMs - due : 0;
  return std::max(open.Info->Ranking.Accepted, at.Now - Milliseconds(age));
}

/// Whether the step has waited so long that the pool's share is for it. A step
/// that is kept apart after crashes has none of it; a suspect is kept apart for
/// `IsolationPatience`.
bool WorkflowLeader::isOverdue(const StepKey &key, const OpenStep &open,
                               Moment at) const {
  const protocol::StepSpec &spec = open.Parent->Spec.steps(int(key.Step));
  const auto age =
      std::chrono::duration_cast<Milliseconds>(at.Now - dueAt(key, open, at));
  return Overdue.isOverdue(open.Info->Ranking.Objective, age,
                           open.Info->CriticalPaths[key.Step]) &&
         !isIsolated(open, spec, at.Now) &&
         !Containment.isOnProbation(open.Parent->Spec.queue(), at.Now);
}

/// Whether the step may go before all others: its pool's share is not used up,
/// or runners are being drained for it.
bool WorkflowLeader::mayTakeShare(const StepKey &key,
                                  const std::string &pool) const {
  return Overdue.hasLeft(pool) || isDrainedFor(key);
}

bool WorkflowLeader::isDrainedFor(const StepKey &key) const {
  return std::any_of(Drains.begin(), Drains.end(),
                     [&](const auto &it) { return it.second.Step == key; });
}

/// Removes from the late steps those that this pass tries before all others,
/// and returns them. The rest keep their rank.
std::vector<WorkflowLeader::RankedStep>
WorkflowLeader::takeOverdue(std::vector<RankedStep> &late, Moment at) {
  std::vector<RankedStep> overdue;
  for (const RankedStep &it : late) {
    const OpenStep &open = OpenSteps.at(*it.Key);
    const std::string &queue = open.Parent->Spec.queue();
    const protocol::QueueConfig *config = State.findQueue(queue);
    if (it.Overdue && config && mayTakeShare(*it.Key, config->pool())) {
      overdue.push_back(it);
      overdue.back().Overdue = {!isDrainedFor(*it.Key),
                                Overdue.spentBy(config->pool(), queue),
                                dueAt(*it.Key, open, at)};
    }
  }
  limit(overdue, Options.OverdueStepsPerPass, Options.OverdueStepsInTurnPerPass,
        LastOverdueInTurn);
  std::sort(overdue.begin(), overdue.end());
  std::unordered_set<const StepKey *> taken;
  for (const RankedStep &it : overdue) {
    taken.insert(it.Key);
  }
  std::erase_if(late,
                [&](const RankedStep &it) { return taken.contains(it.Key); });
  for (RankedStep &it : late) {
    it.Overdue.reset();
  }
  return overdue;
}

/// Reduces the planned runs to those that the pool's share allows, one at
/// least, and takes them from the share.
void WorkflowLeader::limitToShare(std::vector<PlannedRun> &planned,
                                  const protocol::StepSpec &spec,
                                  const std::string &pool,
                                  const std::string &queue) {
  const std::uint64_t work = OverdueShare::costOf(spec);
  std::size_t taken = 0;
  while (taken < planned.size() &&
         (taken == 0 || spec.gang() || Overdue.hasLeft(pool))) {
    Overdue.spend(pool, queue, work);
    ++taken;
  }
  planned.resize(taken);
}

/// Whether runners may be drained for the step: after a drain that failed only
/// after a pause, which doubles with each one, so that a step that never finds
/// room leaves the runners to others.
bool WorkflowLeader::mayDrain(const OpenStep &open, SteadyTime now) const {
  constexpr std::uint32_t MaxDoublings = 5;
  return open.FailedDrains == 0 ||
         now - open.DrainFailedAt >=
             Options.MaxDrainTime *
                 (1 << std::min(open.FailedDrains, MaxDoublings));
}

/// Ends the drain of a pool. Unless its step has started, the next one for this
/// step waits.
void WorkflowLeader::endDrain(const std::string &pool, DrainEnd end,
                              SteadyTime now) {
  const auto drain = Drains.extract(pool);
  if (drain.empty()) {
    return;
  }
  const StepKey &key = drain.mapped().Step;
  const auto lasted =
      std::chrono::duration_cast<Milliseconds>(now - drain.mapped().Since);
  logEvent(WorkflowEventKind::DrainEnded,
           {{"step", textOf(key)},
            {"pool", pool},
            {"end", std::string(nameOf(end))},
            {"runners", std::to_string(drain.mapped().Places.size())},
            {"lasted_ms", std::to_string(lasted.count())}});
  const auto open = OpenSteps.find(key);
  const bool failed = end != DrainEnd::Started && end != DrainEnd::AccountFull;
  if (failed && open != OpenSteps.end()) {
    open->second.DrainFailedAt = now;
    ++open->second.FailedDrains;
  }
}

/// Ends the drains that have lasted too long or whose step no longer waits.
void WorkflowLeader::forgetDrains(SteadyTime now) {
  std::vector<std::pair<std::string, DrainEnd>> ended;
  for (const auto &[pool, drain] : Drains) {
    const auto open = OpenSteps.find(drain.Step);
    if (now - drain.Since >= Options.MaxDrainTime || open == OpenSteps.end() ||
        startableCount(drain.Step, open->second) == 0) {
      ended.emplace_back(pool, DrainEnd::Expired);
    } else if (startableBelowCap(drain.Step, open->second) == 0) {
      ended.emplace_back(pool, DrainEnd::AccountFull);
    }
  }
  for (const auto &[pool, end] : ended) {
    endDrain(pool, end, now);
  }
}

/// How many tasks of the step each runner is to be drained for: of a gang all,
/// of other steps a small share of the pool. Prefers runners that are expected
/// to have room soonest.
std::map<std::string, std::size_t>
WorkflowLeader::drainPlaces(const StepKey &key, std::size_t tasks, bool advised,
                            const Fleet &fleet, const Fleet::Pool &pool,
                            Moment at) const {
  const protocol::StepSpec &spec = *State.findSpec(key);
  const OpenStep &open = OpenSteps.at(key);
  const ResourceAmounts needs = needsOf(spec);
  const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key);
  std::vector<const RunnerEntry *> runners;
  for (const RunnerEntry *it : pool.Runners) {
    const bool approved = tickets && tickets->contains(it->Info.id());
    if ((!advised || approved) && mayRun(open, spec, *it) &&
        !isKeptApart(open, spec, *it, fleet, at.Now)) {
      runners.push_back(it);
    }
  }
  std::size_t wanted = tasks;
  if (!spec.gang()) {
    const auto share =
        std::int64_t(pool.MilliProcessors) * Options.GatheredPermille / 1000;
    wanted = std::min<std::size_t>(
        tasks,
        std::max<std::int64_t>(
            share / std::max<std::int64_t>(needs.MilliProcessors, 1), 1));
  }
  std::map<std::string, std::size_t> places;
  const auto forecast =
      forecastGangRoom(needs, wanted, runners, at.Now, spec.max_per_runner());
  if (!forecast || forecast->Horizon > Options.MaxDrainTime) {
    return places;
  }
  for (const RunnerEntry *it : forecast->Runners) {
    const std::size_t fit =
        std::min(placesOf(spec, amountsOf(it->Info.capacity())), wanted);
    if (fit > 0) {
      places[it->Info.id()] = fit;
      wanted -= fit;
    }
  }
  return wanted == 0 ? places : std::map<std::string, std::size_t>();
}

/// Keeps other steps off runners until the step, which is overdue and finds no
/// room, can start there. The room for a task that needs more than others
/// leave at once never comes about by itself on a full fleet. Returns whether
/// runners are drained for this step; in each pool they are for one at a time.
bool WorkflowLeader::drainRunners(const StepKey &key, std::size_t tasks,
                                  bool advised, Fleet &fleet,
                                  const std::string &poolName, Moment at) {
  OpenStep &open = OpenSteps.at(key);
  if (!Drains.contains(poolName) && mayDrain(open, at.Now)) {
    Drains[poolName] = {key, at.Now, {}};
    logEvent(WorkflowEventKind::DrainBegan,
             {{"step", textOf(key)},
              {"pool", poolName},
              {"tasks", std::to_string(tasks)},
              {"failed_before", std::to_string(open.FailedDrains)}});
  }
  const auto drain = Drains.find(poolName);
  if (drain == Drains.end() || drain->second.Step != key) {
    return false;
  }
  const Fleet::Pool &pool = fleet.Pools.at(poolName);
  const bool usable =
      std::all_of(drain->second.Places.begin(), drain->second.Places.end(),
                  [&](const auto &it) { return pool.find(it.first); });
  if (drain->second.Places.empty() || !usable) {
    drain->second.Places = drainPlaces(key, tasks, advised, fleet, pool, at);
  }
  if (drain->second.Places.empty()) {
    endDrain(poolName, DrainEnd::NoRoom, at.Now);
    return false;
  }
  const ResourceAmounts needs = needsOf(*State.findSpec(key));
  for (const auto &[id, places] : drain->second.Places) {
    ResourceAmounts &claimed = fleet.Claimed[pool.find(id)];
    for (std::size_t i = 0; i < places; ++i) {
      claimed += needs;
    }
  }
  if (advised) {
    // Other approved runners may have room before the drained ones.
    renewForGang(key, nullptr, pool, at.Now);
  }
  return true;
}

} // namespace masticwinch::workflow
