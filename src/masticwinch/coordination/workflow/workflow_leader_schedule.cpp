#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/pool_fit.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

std::uint32_t nextRun(const Step &step, const protocol::StepSpec &spec,
                      std::uint32_t index) {
  if (!spec.gang()) {
    return step.Tasks[index].Run + 1;
  }
  // All members of a gang have the same run number.
  std::uint32_t last = 0;
  for (const Task &it : step.Tasks) {
    last = std::max(last, it.Run);
  }
  return last + 1;
}

/// Checkpoint to resume from; all members of a gang resume from the same one.
std::string checkpointOf(const Step &step, const protocol::StepSpec &spec,
                         std::uint32_t index) {
  if (!spec.checkpoints()) {
    return {};
  }
  if (!spec.gang()) {
    return step.Tasks[index].Checkpoint;
  }
  const auto it =
      std::find_if(step.Tasks.begin(), step.Tasks.end(),
                   [](const Task &task) { return !task.Checkpoint.empty(); });
  return it == step.Tasks.end() ? std::string() : it->Checkpoint;
}

} // namespace

/// Ranks the waiting steps, except those that their accounts' caps have no room
/// for, and updates the sums of waiting work.
std::vector<WorkflowLeader::RankedStep>
WorkflowLeader::rankedSteps(const Fleet &fleet, Moment at) {
  std::vector<RankedStep> ranked;
  Waiting.beginCount(Containment.queuesOnProbation(at.Now));
  std::map<std::string, OverdueShare::Backlogs> overdueWork;
  std::int64_t gangTasks = 0;
  std::int64_t gangProcessors = 0;
  const auto aboveCaps = stepsAboveCaps(at);
  for (auto &[key, open] : OpenSteps) {
    if (!open.Startable) {
      open.Startable = startableCount(key, open);
    }
    const std::size_t tasks = *open.Startable;
    if (tasks == 0 || aboveCaps.contains(&key)) {
      continue;
    }
    const protocol::StepSpec &spec = open.Parent->Spec.steps(int(key.Step));
    if (spec.gang()) {
      gangTasks += std::int64_t(tasks);
      gangProcessors += std::int64_t(tasks) * spec.needs().milli_processors();
    }
    const Milliseconds remaining = open.Info->CriticalPaths[key.Step];
    const StepRank rank =
        rankOf(open.Info->Ranking, remaining, at.Now, Options.Ranking);
    const std::uint64_t work =
        saturatingMultiply(belowCap(*open.Parent, spec, tasks), taskWork(spec));
    const std::string &queue = open.Parent->Spec.queue();
    if (countsAsWaiting(rank, queue, spec.gang())) {
      Waiting.addStep(queue, rank.Priority, spec.gang(), work);
    }
    ranked.push_back({rank, &key, std::nullopt});
    if (isOverdue(key, open, at)) {
      ranked.back().Overdue = OverdueRank();
      // Work that drained runners had no room for doesn't say how long other
      // work will wait.
      const protocol::QueueConfig *config = State.findQueue(queue);
      if (config && open.FailedDrains == 0) {
        std::uint64_t &backlog = overdueWork[config->pool()][queue];
        backlog = saturatingAdd(backlog, work);
      }
    }
  }
  if (gangTasks > 0) {
    GangTaskProcessors = gangProcessors / gangTasks;
  }
  for (const auto &[name, pool] : fleet.Pools) {
    Overdue.setBacklogs(name, overdueWork[name]);
  }
  rankByShares(ranked, at.Now);
  giveTurns(ranked, fleet, at.Now);
  return tryable(std::move(ranked), at);
}

/// Whether the step counts as work ahead of a submission. Late steps rank
/// behind one but hold some of the room that it needs.
bool WorkflowLeader::countsAsWaiting(const StepRank &rank,
                                     const std::string &queue,
                                     bool gang) const {
  return rank.Forecast != CompletionForecast::Missed ||
         Waiting.isOnProbation(queue, gang);
}

/// Selects the steps that a pass tries to place, in rank order, from all
/// waiting steps in the order of their keys.
std::vector<WorkflowLeader::RankedStep>
WorkflowLeader::tryable(std::vector<RankedStep> ranked, Moment at) {
  const auto firstLate = std::stable_partition(
      ranked.begin(), ranked.end(), [](const RankedStep &it) {
        return it.Rank.Forecast == CompletionForecast::OnTime;
      });
  std::vector<RankedStep> late(firstLate, ranked.end());
  ranked.erase(firstLate, ranked.end());
  const std::vector<RankedStep> overdue = takeOverdue(late, at);
  // A claim, or a turn to gather, lasts only while its step is tried in each
  // pass.
  std::vector<RankedStep> claiming;
  const auto claims = [&](const RankedStep &it) {
    return Claims.find(*it.Key) != nullptr || Turns.has(*it.Key);
  };
  std::copy_if(late.begin(), late.end(), std::back_inserter(claiming), claims);
  std::erase_if(late, claims);
  limit(ranked, Options.StepsPerPass, Options.StepsInTurnPerPass,
        LastOnTimeInTurn);
  limit(late, Options.LateStepsPerPass, Options.LateStepsInTurnPerPass,
        LastLateInTurn);
  ranked.insert(ranked.end(), late.begin(), late.end());
  ranked.insert(ranked.end(), claiming.begin(), claiming.end());
  std::sort(ranked.begin(), ranked.end());
  // Room that is claimed stands idle until its gang starts, so that a gang that
  // holds some goes before others of its priority, also once it is late.
  const auto claimingFirst = [&](const RankedStep &it) {
    StepRank rank = it.Rank;
    if (claims(it)) {
      rank.Forecast = CompletionForecast::OnTime;
      rank.AccountPriority = 0;
      rank.AboveShare = 0;
      rank.Slack = Milliseconds::min();
    }
    return rank;
  };
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const RankedStep &a, const RankedStep &b) {
                     return claimingFirst(a) < claimingFirst(b);
                   });
  ranked.insert(ranked.begin(), overdue.begin(), overdue.end());
  return ranked;
}

/// Reduces the steps, which are in the order of their keys, to the `first` that
/// rank first and `inTurn` others. These follow `last` in the order of the
/// keys, so that over several passes all steps are selected.
void WorkflowLeader::limit(std::vector<RankedStep> &steps, std::size_t first,
                           std::size_t inTurn, StepKey &last) {
  if (steps.size() <= first + inTurn) {
    return;
  }
  std::vector<RankedStep> others = steps;
  const auto end = steps.begin() + static_cast<std::ptrdiff_t>(first);
  std::nth_element(steps.begin(), end, steps.end());
  const RankedStep bound = *end;
  steps.erase(end, steps.end());
  std::erase_if(others, [&bound](const RankedStep &it) { return it < bound; });
  const auto next = std::upper_bound(
      others.begin(), others.end(), last,
      [](const StepKey &key, const RankedStep &it) { return key < *it.Key; });
  std::rotate(others.begin(), next, others.end());
  for (std::size_t i = 0; i < inTurn; ++i) {
    steps.push_back(others[i]);
    last = *others[i].Key;
  }
}

std::size_t WorkflowLeader::startableCount(const StepKey &key,
                                           const OpenStep &open) const {
  const Occurrence *occurrence = open.Parent->find(key.Occurrence);
  if (!occurrence) {
    return 0;
  }
  const Step *step = &occurrence->Steps[key.Step];
  const auto idle = static_cast<std::size_t>(
      std::count_if(step->Tasks.begin(), step->Tasks.end(), [](const Task &it) {
        return !it.Done && it.Runner.empty();
      }));
  const std::size_t count =
      idle > open.InFlight.size() ? idle - open.InFlight.size() : 0;
  const bool gang = open.Parent->Spec.steps(int(key.Step)).gang();
  return gang && count < step->Tasks.size() ? 0 : count;
}

/// Tasks that can be started; for a gang all or none.
std::vector<std::uint32_t>
WorkflowLeader::startableTasks(const StepKey &key, const OpenStep &open,
                               SteadyTime now) const {
  std::vector<std::uint32_t> tasks;
  const Step *step = State.findStep(key);
  const protocol::StepSpec *spec = State.findSpec(key);
  if (!step || !spec) {
    return tasks;
  }
  for (std::uint32_t i = 0; i < step->Tasks.size(); ++i) {
    const Task &it = step->Tasks[i];
    if (!it.Done && it.Runner.empty() && !open.InFlight.contains(i) &&
        !waitsForFate(it, now)) {
      tasks.push_back(i);
    }
  }
  if (spec->gang() && tasks.size() < step->Tasks.size()) {
    tasks.clear();
  }
  return tasks;
}

const RunnerEntry *
WorkflowLeader::Fleet::Pool::find(const std::string &id) const {
  const auto it =
      std::lower_bound(Runners.begin(), Runners.end(), id,
                       [](const RunnerEntry *entry, const std::string &wanted) {
                         return entry->Info.id() < wanted;
                       });
  return it != Runners.end() && (*it)->Info.id() == id ? *it : nullptr;
}

ResourceAmounts WorkflowLeader::Fleet::freeOn(const RunnerEntry &runner) const {
  ResourceAmounts free = runner.Free;
  if (const auto it = Claimed.find(&runner); it != Claimed.end()) {
    free -= it->second;
  }
  return free;
}

ResourceAmounts WorkflowLeader::Fleet::freeUntil(const RunnerEntry &runner,
                                                 SteadyTime end) const {
  ResourceAmounts free = freeOn(runner);
  const auto loans = Loans.find(&runner);
  if (loans == Loans.end()) {
    return free;
  }
  for (const Loan &it : loans->second) {
    if (end <= it.Until) {
      free += it.Amounts;
    }
  }
  const ResourceAmounts &most = runner.Free;
  return {std::min(free.MilliProcessors, most.MilliProcessors),
          std::min(free.MemoryMb, most.MemoryMb),
          std::min(free.Accelerators, most.Accelerators)};
}

WorkflowLeader::Fleet WorkflowLeader::usableFleet(Moment at) const {
  Fleet fleet;
  fleet.SlowRenewals = Options.SlowRenewals;
  fleet.GatheringGangs =
      1 + Registry.runners().size() / Options.RunnersPerGatheringGang;
  for (const auto &[id, runner] : Registry.runners()) {
    if (!Registry.isUsable(runner, at.Now) ||
        Health.isQuarantined(id, at.Now)) {
      continue;
    }
    Fleet::Pool &pool = fleet.Pools[runner.Info.pool()];
    pool.Runners.push_back(&runner);
    pool.MilliProcessors += runner.Info.capacity().milli_processors();
    fleet.GatherableProcessors += runner.Info.capacity().milli_processors() *
                                  Options.GatheredPermille / 1000;
    pool.ByFreeProcessors.emplace_back(runner.Free.MilliProcessors, &runner);
  }
  for (auto &[name, pool] : fleet.Pools) {
    // Stable, so that decisions are deterministic: ties are ordered by id.
    std::stable_sort(
        pool.ByFreeProcessors.begin(), pool.ByFreeProcessors.end(),
        [](const auto &a, const auto &b) { return a.first > b.first; });
  }
  return fleet;
}

void WorkflowLeader::schedule(Moment at) {
  Fleet fleet = usableFleet(at);
  UsableProcessors.clear();
  for (const auto &[name, pool] : fleet.Pools) {
    UsableProcessors[name] = pool.MilliProcessors;
    AdmissionInput input;
    input.MilliProcessors = pool.MilliProcessors;
    Overdue.accrue(name, usableProcessors(Options.Admission, input), at.Now);
  }
  forgetDrains(at.Now);
  keepApart(fleet, at.Now);
  countProbation(fleet);
  reportProbation(fleet, at.Now);
  const std::vector<RankedStep> ranked = rankedSteps(fleet, at);
  restoreClaims(fleet);
  lendClaims(fleet, at.Now);
  for (const RankedStep &it : ranked) {
    scheduleStep(it, fleet, at);
  }
  logEndedClaims(at.Now);
  reportWaits(fleet, ranked, at);
  for (AdviceCall &it : Advice.takeCalls()) {
    logEvent(WorkflowEventKind::AdviceAsked,
             {{"step", textOf(it.Step)},
              {"order", std::to_string(it.Order)},
              {"agent", it.Agent},
              {"runners", std::to_string(it.Runners.size())}});
    Effects.Advice.push_back(std::move(it));
  }
}

/// Whether the runner may get tasks of the step, regardless of its free
/// resources.
bool WorkflowLeader::mayRun(const OpenStep &open,
                            const protocol::StepSpec &spec,
                            const RunnerEntry &runner) {
  return !open.FailedRunners.contains(runner.Info.id()) &&
         (spec.required_label().empty() ||
          runner.hasLabel(spec.required_label()));
}

/// Whether other runners than those on which a run of the step failed have the
/// capacity for a task, or for the whole gang. Those that the advice service
/// has not been asked about count as well.
bool WorkflowLeader::hasOtherRunners(const StepKey &key, bool advised,
                                     const Fleet::Pool &pool) const {
  const OpenStep &open = OpenSteps.at(key);
  const protocol::StepSpec &spec = *State.findSpec(key);
  const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key);
  const std::set<std::string> *asked = Advice.askedRunners(key);
  const std::size_t needed = spec.gang() ? spec.count() : 1;
  std::size_t fitting = 0;
  for (const RunnerEntry *it : pool.Runners) {
    const std::string &id = it->Info.id();
    const bool refused = advised && asked && asked->contains(id) &&
                         !(tickets && tickets->contains(id));
    if (refused || !mayRun(open, spec, *it)) {
      continue;
    }
    fitting += placesOf(spec, amountsOf(it->Info.capacity()));
    if (fitting >= needed) {
      return true;
    }
  }
  return false;
}

/// The runner with its free resources as a candidate for the step; nothing if
/// it can't run a task of it.
std::optional<PlanCandidate> WorkflowLeader::candidateOf(
    const StepKey &key, const OpenStep &open, const protocol::StepSpec &spec,
    const RunnerEntry &runner, const Fleet &fleet, SteadyTime now) const {
  const ResourceAmounts free =
      spec.gang()
          ? fleet.freeOn(runner)
          : fleet.freeUntil(runner, now + Milliseconds(spec.estimate_ms()) *
                                              Options.LoanTimePermille / 1000);
  if (!free.canFit(needsOf(spec)) || !mayRun(open, spec, runner) ||
      isKeptApart(open, spec, runner, fleet, now) ||
      mustFollowOthers(key, open, spec, runner, fleet, now)) {
    return std::nullopt;
  }
  std::uint32_t ofStep = 0;
  if (spec.max_per_runner() > 0) {
    for (const auto &[run, trackedRun] : runner.Runs) {
      ofStep += run.Task.Step == key ? 1 : 0;
    }
  }
  return PlanCandidate{&runner, free, ofStep};
}

/// Runners that may get tasks of the step. If `withTickets` is false, also
/// approved runners with expired tickets. Iterates over the runners with enough
/// free processors or over the approved ones, whichever are fewer.
std::vector<PlanCandidate>
WorkflowLeader::candidates(const StepKey &key, bool advised, const Fleet &fleet,
                           const Fleet::Pool &pool, bool withTickets,
                           Moment at) const {
  std::vector<PlanCandidate> found;
  const OpenStep &open = OpenSteps.at(key);
  const protocol::StepSpec &spec = open.Parent->Spec.steps(int(key.Step));
  const std::int64_t needed = needsOf(spec).MilliProcessors;
  const auto end = std::partition_point(
      pool.ByFreeProcessors.begin(), pool.ByFreeProcessors.end(),
      [needed](const auto &it) { return it.first >= needed; });
  const auto consider = [&](const RunnerEntry &runner) {
    if (auto candidate = candidateOf(key, open, spec, runner, fleet, at.Now)) {
      found.push_back(*candidate);
    }
  };
  const AdviceTracker::Tickets *tickets = Advice.ticketsOf(key);
  if (advised && !tickets) {
    return found;
  }
  const auto mayUse = [&](const AdviceTracker::Ticket &ticket) {
    return !withTickets || Advice.isFresh(ticket, at.Now);
  };
  if (advised &&
      tickets->size() < std::size_t(end - pool.ByFreeProcessors.begin())) {
    for (const auto &[id, ticket] : *tickets) {
      if (!mayUse(ticket)) {
        continue;
      }
      if (const RunnerEntry *runner = pool.find(id)) {
        consider(*runner);
      }
    }
    return found;
  }
  for (auto it = pool.ByFreeProcessors.begin(); it != end; ++it) {
    const RunnerEntry &runner = *it->second;
    if (!advised) {
      consider(runner);
      continue;
    }
    const auto ticket = tickets->find(runner.Info.id());
    if (ticket != tickets->end() && mayUse(ticket->second)) {
      consider(runner);
    }
  }
  return found;
}

void WorkflowLeader::scheduleStep(const RankedStep &ranked, Fleet &fleet,
                                  Moment at) {
  const StepKey &key = *ranked.Key;
  const Workflow *workflow = State.find(key.Workflow);
  const protocol::QueueConfig *queue =
      workflow ? State.findQueue(workflow->Spec.queue()) : nullptr;
  const auto pool = queue ? fleet.Pools.find(queue->pool()) : fleet.Pools.end();
  if (pool == fleet.Pools.end()) {
    return;
  }
  OpenStep &open = OpenSteps.at(key);
  open.Room = Gathering::NotTried;
  const std::string &queueName = workflow->Spec.queue();
  const protocol::StepSpec &spec = *State.findSpec(key);
  std::vector<std::uint32_t> tasks = startableTasks(key, open, at.Now);
  const std::size_t allowed = belowCap(*workflow, spec, tasks.size(), &fleet);
  if (allowed < tasks.size()) {
    tasks.resize(allowed);
    if (tasks.empty()) {
      releaseClaim(key, fleet);
      Claims.remove(key, ClaimEnd::AccountFull);
      return;
    }
  }
  const bool avoidedLongEnough =
      !tasks.empty() && at.Now - open.LastFailure >= Options.AvoidFailedFor;
  if (!open.FailedRunners.empty() &&
      (avoidedLongEnough ||
       !hasOtherRunners(key, queue->has_advice(), pool->second))) {
    open.FailedRunners.clear();
  }
  const bool advised = queue->has_advice();
  const std::optional<GangClaim> held =
      spec.gang() ? releaseClaim(key, fleet) : std::nullopt;
  const bool overdue = ranked.Overdue && mayTakeShare(key, pool->first);
  if (ranked.Overdue && !overdue && !held) {
    // Others have used up the share in this pass.
    return;
  }
  std::vector<PlannedRun> planned = planStep(
      spec, tasks, candidates(key, advised, fleet, pool->second, true, at),
      GangTaskProcessors);
  const bool foundRoom = planned.size() == tasks.size();
  if (overdue) {
    limitToShare(planned, spec, pool->first, queueName);
  }
  const Step &step = *State.findStep(key);
  for (const PlannedRun &it : planned) {
    LentStarts += fleet.freeOn(*it.Runner).canFit(needsOf(spec)) ? 0 : 1;
    assign(key, open, it, nextRun(step, spec, it.Index),
           checkpointOf(step, spec, it.Index), at);
  }
  if (!planned.empty() &&
      countsAsWaiting(ranked.Rank, queueName, spec.gang())) {
    Waiting.removeStarted(queueName, ranked.Rank.Priority, spec.gang(),
                          saturatingMultiply(planned.size(), taskWork(spec)));
    if (const auto &cap = capOf(workflow->Account); isLimited(cap)) {
      Waiting.removeForAccount(workflow->Account, ranked.Rank.Priority,
                               microsOnCap(spec, planned.size(), cap));
    }
  }
  if (!planned.empty() && isDrainedFor(key)) {
    endDrain(pool->first, DrainEnd::Started, at.Now);
  }
  if (foundRoom) {
    Claims.remove(key, ClaimEnd::Started);
    return;
  }
  if (!advised || Advice.ticketsOf(key)) {
    ShortPools.insert(pool->first);
  }
  if (advised) {
    Advice.addStep(key, queue->name(), queue->advice());
  }
  if (overdue && planned.empty() && !tasks.empty() &&
      drainRunners(key, tasks.size(), advised, fleet, pool->first, at)) {
    Claims.remove(key, ClaimEnd::Drained);
    claimOfAccount(key, tasks.size(), fleet);
    return;
  }
  if (!spec.gang()) {
    const std::size_t left = tasks.size() - planned.size();
    tasks = startableTasks(key, open, at.Now);
    tasks.resize(std::min(tasks.size(), left));
  }
  const bool waitsForTickets =
      spec.gang()
          ? gatherRoom(key, tasks, held, advised, fleet, pool->second, at)
          : advised && renewTickets(key, tasks, fleet, pool->second, at);
  if (Claims.find(key)) {
    claimOfAccount(key, tasks.size(), fleet);
  }
  if (advised && !waitsForTickets) {
    askMoreRunners(key, tasks.size(), pool->second, fleet, at);
  }
}

void WorkflowLeader::assign(const StepKey &key, OpenStep &open,
                            const PlannedRun &planned, std::uint32_t run,
                            const std::string &checkpoint, Moment at) {
  const TaskKey task{key, planned.Index};
  const std::string runner = planned.Runner->Info.id();
  TrackedRun trackedRun;
  trackedRun.Needs = needsOf(*State.findSpec(key));
  trackedRun.Account = open.Parent->Account;
  trackedRun.ExpectedDuration =
      Milliseconds(State.findSpec(key)->estimate_ms());
  trackedRun.Payload = State.find(key.Workflow)->Spec.payload();
  trackedRun.Checkpoint = checkpoint;
  if (const std::string *ticket = Advice.ticket(key, runner, at.Now)) {
    trackedRun.Ticket = *ticket;
  }
  Registry.reserve(runner, {task, run}, std::move(trackedRun), at.Now);
  open.InFlight.insert(planned.Index);
  Tally.assigned(open.Parent->Spec.queue());
  ServiceRate.add(open.Parent->Spec.queue(), taskWork(*State.findSpec(key)),
                  at.Now);
  open.Startable.reset();
  logEvent(WorkflowEventKind::RunAssigned, {{"task", textOf(task)},
                                            {"run", std::to_string(run)},
                                            {"runner", runner}});
  protocol::WorkflowChange assigned;
  *assigned.mutable_assign()->mutable_task() = refOf(task);
  assigned.mutable_assign()->set_run(run);
  assigned.mutable_assign()->set_runner(runner);
  propose(std::move(assigned));
}

} // namespace masticwinch::workflow
