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

/// Number of tasks of a step that would fit if all its tickets were valid.
std::size_t WorkflowLeader::fittingTasks(const StepKey &key,
                                         const protocol::QueueConfig &queue,
                                         const Fleet &fleet, Moment at) const {
  const auto pool = fleet.Pools.find(queue.pool());
  if (pool == fleet.Pools.end()) {
    return 0;
  }
  return planStep(*State.findSpec(key), startableTasks(key, OpenSteps.at(key)),
                  candidates(key, queue.has_advice(), fleet, pool->second,
                             false, at))
      .size();
}

void WorkflowLeader::logWait(const StepKey &key, const Fleet &fleet,
                             const std::vector<RankedStep> &tried, Moment at) {
  const OpenStep &open = OpenSteps.at(key);
  const protocol::QueueConfig *queue =
      findQueue(State.config(), open.Parent->Spec.queue());
  Fleet unreserved = fleet;
  unreserved.Reserved.clear();
  unreserved.Claimed.clear();
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
       {"avoided", std::to_string(open.FailedRunners.size())},
       {"fit",
        std::to_string(queue ? fittingTasks(key, *queue, fleet, at) : 0)},
       {"fit_unreserved",
        std::to_string(queue ? fittingTasks(key, *queue, unreserved, at) : 0)},
       {"queue_known", queue ? "yes" : "no"}});
}

} // namespace masticwinch::workflow
