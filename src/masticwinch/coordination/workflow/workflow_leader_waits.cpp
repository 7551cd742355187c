#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// Logs the steps that have waited longest, with what they wait for.
void WorkflowLeader::reportWaits(const Fleet &fleet,
                                 const std::vector<RankedStep> &tried,
                                 Moment at) {
  if (at.Now < NextWaitReport) {
    return;
  }
  NextWaitReport = at.Now + Options.WaitReportInterval;
  reportOutcomes(at.Now);
  logPoolLoads(fleet, tried);
  logQueueLoads(at);
  reportAccounts(at.Now);
  std::vector<std::pair<SteadyTime, StepKey>> waiting;
  for (const auto &[key, open] : OpenSteps) {
    const SteadyTime since = open.Info->Ranking.Accepted;
    if (at.Now - since >= Options.MinReportedWait &&
        startableCount(key, open) > 0) {
      waiting.emplace_back(since, key);
    }
  }
  const std::size_t count = std::min(waiting.size(), Options.WaitsPerReport);
  std::partial_sort(waiting.begin(), waiting.begin() + std::ptrdiff_t(count),
                    waiting.end());
  for (std::size_t i = 0; i < count; ++i) {
    logWait(waiting[i].second, fleet, tried, at);
  }
}

/// Logs how much of each pool is in use, how much is kept for waiting gangs,
/// and how many of the tried steps still wait.
void WorkflowLeader::logPoolLoads(const Fleet &fleet,
                                  const std::vector<RankedStep> &tried) {
  std::size_t gangs = 0;
  std::size_t others = 0;
  std::size_t late = 0;
  std::size_t shareUsed = 0;
  for (const RankedStep &it : tried) {
    const OpenStep &open = OpenSteps.at(*it.Key);
    if (startableCount(*it.Key, open) == 0) {
      continue;
    }
    shareUsed += open.Room == Gathering::ShareUsed ? 1 : 0;
    if (it.Rank.Forecast != CompletionForecast::OnTime) {
      ++late;
    } else if (open.Parent->Spec.steps(int(it.Key->Step)).gang()) {
      ++gangs;
    } else {
      ++others;
    }
  }
  for (const auto &[name, pool] : fleet.Pools) {
    std::int64_t free = 0;
    std::int64_t claimed = 0;
    for (const RunnerEntry *it : pool.Runners) {
      free += it->Free.MilliProcessors;
    }
    for (const auto &[runner, amounts] : fleet.Claimed) {
      claimed += amounts.MilliProcessors;
    }
    std::size_t drained = 0;
    if (const auto drain = Drains.find(name); drain != Drains.end()) {
      drained = drain->second.Places.size();
    }
    logEvent(WorkflowEventKind::PoolLoad,
             {{"pool", name},
              {"runners", std::to_string(pool.Runners.size())},
              {"milli_processors", std::to_string(pool.MilliProcessors)},
              {"free", std::to_string(free)},
              {"claims", std::to_string(Claims.size())},
              {"claimed", std::to_string(claimed)},
              {"drained_runners", std::to_string(drained)},
              {"gangs_waiting", std::to_string(gangs)},
              {"others_waiting", std::to_string(others)},
              {"late_waiting", std::to_string(late)},
              {"share_used", std::to_string(shareUsed)},
              {"turns", std::to_string(Turns.size())},
              {"turns_waiting", std::to_string(Turns.waiting())},
              {"lent_starts", std::to_string(std::exchange(LentStarts, 0))},
              {"agents", std::to_string(Advice.agentCount())}});
  }
}

/// Logs what became of the submissions of each queue by their size, in sums
/// since this leader took over, so that a line that is dropped loses nothing.
void WorkflowLeader::reportOutcomes(SteadyTime now) {
  if (now < NextOutcomeReport) {
    return;
  }
  NextOutcomeReport = now + Options.OutcomeReportInterval;
  for (const auto &[key, counts] : Outcomes.counts()) {
    std::vector<std::pair<std::string, std::string>> fields{
        {"queue", key.first}, {"size", std::string(nameOf(key.second))}};
    for (const auto &it : EnumNames<OutcomeKind>::Table) {
      fields.emplace_back(
          it.Name, std::to_string(counts[static_cast<std::size_t>(it.Value)]));
    }
    logEvent(WorkflowEventKind::SizeLoad, std::move(fields));
  }
}

/// Logs the claims that have ended, with what became of their gangs.
void WorkflowLeader::logEndedClaims(SteadyTime now) {
  for (const EndedClaim &it : Claims.takeEnded()) {
    const auto held =
        std::chrono::duration_cast<Milliseconds>(now - it.Claim.Since);
    logEvent(WorkflowEventKind::ClaimEnded,
             {{"step", textOf(it.Step)},
              {"end", std::string(nameOf(it.End))},
              {"places", std::to_string(it.Claim.placeCount())},
              {"held_ms", std::to_string(held.count())}});
  }
}

/// Logs what the queues got since the last report and how long their work
/// waits, of the queues whose work waits longest.
void WorkflowLeader::logQueueLoads(Moment at) {
  struct Load {
    QueueCounts Counts;
    std::size_t StepsWaiting = 0;
    Milliseconds LongestWait{0};
  };
  std::map<std::string, Load> loads;
  for (auto &[queue, counts] : Tally.take()) {
    loads[queue].Counts = counts;
  }
  for (const auto &[key, open] : OpenSteps) {
    if (startableCount(key, open) == 0) {
      continue;
    }
    Load &load = loads[open.Parent->Spec.queue()];
    ++load.StepsWaiting;
    load.LongestWait =
        std::max(load.LongestWait, std::chrono::duration_cast<Milliseconds>(
                                       at.Now - open.Info->Ranking.Accepted));
  }
  std::vector<std::pair<Milliseconds, std::string>> longest;
  for (const auto &[queue, load] : loads) {
    longest.emplace_back(load.LongestWait, queue);
  }
  std::sort(longest.rbegin(), longest.rend());
  longest.resize(std::min(longest.size(), Options.QueuesPerReport));
  for (const auto &[wait, queue] : longest) {
    const Load &load = loads.at(queue);
    const protocol::QueueConfig *config = State.findQueue(queue);
    logEvent(WorkflowEventKind::QueueLoad,
             {{"queue", queue},
              {"priority", std::to_string(config ? config->priority() : 0)},
              {"accepted", std::to_string(load.Counts.Accepted)},
              {"refused", std::to_string(load.Counts.Refused)},
              {"tasks_assigned", std::to_string(load.Counts.Assigned)},
              {"steps_waiting", std::to_string(load.StepsWaiting)},
              {"longest_since_accepted_ms", std::to_string(wait.count())}});
  }
}

/// Number of tasks of a step that would fit if all its tickets were valid.
std::size_t WorkflowLeader::fittingTasks(const StepKey &key,
                                         const protocol::QueueConfig &queue,
                                         const Fleet &fleet, Moment at) const {
  const auto pool = fleet.Pools.find(queue.pool());
  if (pool == fleet.Pools.end()) {
    return 0;
  }
  return planStep(*State.findSpec(key),
                  startableTasks(key, OpenSteps.at(key), at.Now),
                  candidates(key, queue.has_advice(), fleet, pool->second,
                             false, at))
      .size();
}

void WorkflowLeader::logWait(const StepKey &key, const Fleet &fleet,
                             const std::vector<RankedStep> &tried, Moment at) {
  const OpenStep &open = OpenSteps.at(key);
  const protocol::QueueConfig *queue =
      State.findQueue(open.Parent->Spec.queue());
  Fleet unclaimed = fleet;
  unclaimed.Claimed.clear();
  std::size_t approved = 0;
  std::size_t fresh = 0;
  if (const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key)) {
    approved = tickets->size();
    for (const auto &[runner, ticket] : *tickets) {
      fresh += Advice.isFresh(ticket, at.Now) ? 1 : 0;
    }
  }
  const std::set<std::string> *asked = Advice.askedRunners(key);
  const auto place =
      std::find_if(tried.begin(), tried.end(),
                   [&](const RankedStep &it) { return *it.Key == key; });
  const auto waited = std::chrono::duration_cast<Milliseconds>(
      at.Now - open.Info->Ranking.Accepted);
  const Gathering room = place == tried.end() ? Gathering::NotTried : open.Room;
  logEvent(
      WorkflowEventKind::StepWaits,
      {{"step", textOf(key)},
       {"gang", open.Parent->Spec.steps(int(key.Step)).gang() ? "yes" : "no"},
       {"tasks", std::to_string(startableCount(key, open))},
       {"since_accepted_ms", std::to_string(waited.count())},
       {"place", place == tried.end() ? "not tried"
                                      : std::to_string(place - tried.begin())},
       {"asked", std::to_string(asked ? asked->size() : 0)},
       {"approved", std::to_string(approved)},
       {"fresh", std::to_string(fresh)},
       {"room", std::string(nameOf(room))},
       {"turn", Turns.has(key) ? "yes" : "no"},
       {"avoided", std::to_string(open.FailedRunners.size())},
       {"fit",
        std::to_string(queue ? fittingTasks(key, *queue, fleet, at) : 0)},
       {"fit_unclaimed",
        std::to_string(queue ? fittingTasks(key, *queue, unclaimed, at) : 0)},
       {"queue_known", queue ? "yes" : "no"}});
}

} // namespace masticwinch::workflow
