#include "masticwinch/coordination/workflow/gang_forecast.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// Runners to name in an advice call: for a gang those with the most free
/// processors; for other steps the fullest ones that still fit a task, which
/// leaves large free capacity for gangs.
std::vector<std::string>
WorkflowLeader::adviceCandidates(const StepKey &key, std::size_t tasks,
                                 const Fleet &fleet, const Fleet::Pool &pool,
                                 SteadyTime now) const {
  const protocol::StepSpec &spec = *State.findSpec(key);
  const ResourceAmounts needs = needsOf(spec);
  std::vector<const RunnerEntry *> runners = pool.Runners;
  const OpenStep &open = OpenSteps.at(key);
  std::erase_if(runners, [&](const RunnerEntry *it) {
    return isKeptApart(open, spec, *it, fleet, now);
  });
  const std::set<std::string> *asked = Advice.askedRunners(key);
  if (asked && !asked->empty()) {
    std::erase_if(runners, [asked](const RunnerEntry *it) {
      return asked->contains(it->Info.id());
    });
  }
  const std::size_t wanted = std::min(spec.gang() ? Advice.askSize(key, tasks)
                                                  : Advice.callSize(key, tasks),
                                      runners.size());
  const auto before = [&](const RunnerEntry *a, const RunnerEntry *b) {
    if (spec.gang()) {
      return a->Free.MilliProcessors > b->Free.MilliProcessors;
    }
    const bool fitsA = a->Free.canFit(needs);
    const bool fitsB = b->Free.canFit(needs);
    if (fitsA != fitsB) {
      return fitsA;
    }
    return fitsA ? a->Free.MilliProcessors < b->Free.MilliProcessors
                 : a->Free.MilliProcessors > b->Free.MilliProcessors;
  };
  std::partial_sort(runners.begin(), runners.begin() + std::ptrdiff_t(wanted),
                    runners.end(), before);
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < wanted; ++i) {
    ids.push_back(runners[i]->Info.id());
  }
  return ids;
}

/// Renews the tickets of just those runners on which tasks of the step, which
/// is no gang, fit now; returns false if none does.
bool WorkflowLeader::renewTickets(const StepKey &key,
                                  const std::vector<std::uint32_t> &tasks,
                                  const Fleet &fleet, const Fleet::Pool &pool,
                                  Moment at) {
  const std::vector<PlannedRun> fitting = planStep(
      *State.findSpec(key), tasks,
      candidates(key, true, fleet, pool, false, at), GangTaskProcessors);
  if (fitting.empty()) {
    return false;
  }
  std::set<std::string> runners;
  for (const PlannedRun &it : fitting) {
    runners.insert(it.Runner->Info.id());
  }
  Advice.renew(key, {runners.begin(), runners.end()}, at.Now);
  return true;
}

/// Calls for advice on a step that fits on no approved runner: at once if it
/// has no answer yet, otherwise after a while and about more runners. For the
/// first such steps with slow advice, also renews tickets in advance, so that
/// they are valid when resources become free.
void WorkflowLeader::askMoreRunners(const StepKey &key, std::size_t tasks,
                                    const Fleet::Pool &pool, Fleet &fleet,
                                    Moment at) {
  const bool enough =
      State.findSpec(key)->gang() && hasApprovedRoom(key, tasks, pool);
  if (Advice.mayAsk(key, Advice.callSize(key, tasks), at.Now, enough)) {
    Advice.ask(key, adviceCandidates(key, tasks, fleet, pool, at.Now), at.Now,
               enough);
  }
  if (!Advice.hasAnswer(key) || !Advice.isSlow(key) ||
      fleet.SlowRenewals == 0) {
    return;
  }
  --fleet.SlowRenewals;
  Advice.renew(key, runnersToRenew(key, pool, at.Now), at.Now);
}

/// Approved runners whose tickets are to be valid when room becomes free: those
/// that are expected to have the most of it within `RenewalHorizon`. Room that
/// other gangs hold counts, since these may give it up.
std::vector<std::string> WorkflowLeader::runnersToRenew(const StepKey &key,
                                                        const Fleet::Pool &pool,
                                                        SteadyTime now) const {
  const ResourceAmounts needs = needsOf(*State.findSpec(key));
  std::vector<std::pair<std::size_t, std::string>> byPlaces;
  for (std::string &it : Advice.approvedRunners(key)) {
    if (const RunnerEntry *runner = pool.find(it)) {
      byPlaces.emplace_back(
          expectedPlaces(*runner, needs, now, Options.RenewalHorizon),
          std::move(it));
    }
  }
  std::stable_sort(
      byPlaces.begin(), byPlaces.end(),
      [](const auto &a, const auto &b) { return a.first > b.first; });
  byPlaces.resize(std::min(byPlaces.size(), Options.RunnersPerRenewal));
  std::vector<std::string> runners;
  for (auto &[places, id] : byPlaces) {
    runners.push_back(std::move(id));
  }
  return runners;
}

} // namespace masticwinch::workflow
