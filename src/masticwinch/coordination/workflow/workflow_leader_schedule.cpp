#include "masticwinch/coordination/workflow/gang_reservation.hpp"
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
  // The members of a gang share the number of the run.
  std::uint32_t last = 0;
  for (const Task &it : step.Tasks) {
    last = std::max(last, it.Run);
  }
  return last + 1;
}

/// The checkpoint to go on from; a gang's members all take the same one.
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

/// Ranks the steps that wait, and sums up their work.
std::vector<WorkflowLeader::RankedStep> WorkflowLeader::rankedSteps(Moment at) {
  std::vector<RankedStep> ranked;
  WaitingWork.clear();
  for (const auto &[key, open] : Open) {
    const std::size_t tasks = startableCount(key, open);
    if (tasks == 0) {
      continue;
    }
    const Milliseconds remaining = open.Known->Remaining[key.Step];
    const StepRank rank =
        rankOf(open.Known->Order, remaining, at.Now, Options.Order);
    const protocol::StepSpec &spec = open.Flow->Spec.steps(int(key.Step));
    if (rank.Reach == Outlook::OnTime) {
      WaitingWork[rank.Priority] += tasks * std::uint64_t(spec.estimate_ms()) *
                                    spec.needs().milli_processors() / 1000;
    }
    ranked.push_back({rank, key});
  }
  std::sort(ranked.begin(), ranked.end());
  if (ranked.size() > Options.StepsPerPass) {
    ranked.resize(Options.StepsPerPass);
  }
  return ranked;
}

std::size_t WorkflowLeader::startableCount(const StepKey &key,
                                           const OpenStep &open) const {
  const Occurrence *occurrence = open.Flow->find(key.Occurrence);
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
  const bool gang = open.Flow->Spec.steps(int(key.Step)).gang();
  return gang && count < step->Tasks.size() ? 0 : count;
}

/// Tasks that can be started; of a gang all or none.
std::vector<std::uint32_t>
WorkflowLeader::startable(const StepKey &key, const OpenStep &open) const {
  std::vector<std::uint32_t> tasks;
  const Step *step = State.findStep(key);
  const protocol::StepSpec *spec = State.findSpec(key);
  if (!step || !spec) {
    return tasks;
  }
  for (std::uint32_t i = 0; i < step->Tasks.size(); ++i) {
    const Task &it = step->Tasks[i];
    if (!it.Done && it.Runner.empty() && !open.InFlight.contains(i)) {
      tasks.push_back(i);
    }
  }
  if (spec->gang() && tasks.size() < step->Tasks.size()) {
    tasks.clear();
  }
  return tasks;
}

WorkflowLeader::Fleet WorkflowLeader::fleetNow(Moment at) const {
  Fleet fleet;
  fleet.SlowRenewals = Options.SlowRenewals;
  fleet.Reservations =
      1 + Book.runners().size() / Options.RunnersPerReservation;
  for (const auto &[id, runner] : Book.runners()) {
    if (!Book.isUsable(runner, at.Now) || Health.isResting(id, at.Now)) {
      continue;
    }
    Fleet::Pool &pool = fleet.Pools[runner.Info.pool()];
    pool.Runners.push_back(&runner);
    pool.ById.emplace(runner.Info.id(), &runner);
    pool.MilliProcessors += runner.Info.capacity().milli_processors();
  }
  return fleet;
}

void WorkflowLeader::schedule(Moment at) {
  Fleet fleet = fleetNow(at);
  UsableProcessors.clear();
  for (const auto &[name, pool] : fleet.Pools) {
    UsableProcessors[name] = pool.MilliProcessors;
  }
  for (const RankedStep &it : rankedSteps(at)) {
    scheduleStep(it.Key, fleet, at);
  }
  for (AdviceCall &it : Advice.takeCalls()) {
    note(WorkflowEventKind::AdviceAsked,
         {{"step", textOf(it.Step)},
          {"order", std::to_string(it.Order)},
          {"agent", it.Agent},
          {"runners", std::to_string(it.Runners.size())}});
    Out.Advice.push_back(std::move(it));
  }
}

/// Runners that may get tasks of the step; without regard to the age of their
/// tickets if `withTickets` is false.
std::vector<PlanCandidate>
WorkflowLeader::candidates(const StepKey &key, bool advised, const Fleet &fleet,
                           const Fleet::Pool &pool, bool withTickets,
                           Moment at) const {
  std::vector<PlanCandidate> found;
  const protocol::StepSpec &spec = *State.findSpec(key);
  const Room needs = needsOf(spec);
  const OpenStep &open = Open.at(key);
  const auto consider = [&](const RunnerEntry &runner) {
    if (!runner.Free.holds(needs) || open.Avoid.contains(runner.Info.id()) ||
        (!spec.required_label().empty() &&
         !runner.hasLabel(spec.required_label()))) {
      return;
    }
    const auto kept = fleet.Reserved.find(&runner);
    if (kept != fleet.Reserved.end() &&
        Milliseconds(spec.estimate_ms()) > kept->second) {
      return;
    }
    std::uint32_t ofStep = 0;
    if (spec.max_per_runner() > 0) {
      for (const auto &[run, holding] : runner.Holdings) {
        ofStep += run.Task.Step == key ? 1 : 0;
      }
    }
    found.push_back({&runner, runner.Free, ofStep});
  };
  if (!advised) {
    std::for_each(pool.Runners.begin(), pool.Runners.end(),
                  [&](const RunnerEntry *it) { consider(*it); });
    return found;
  }
  Advice.eachApproved(key, at.Now, [&](const std::string &id, bool fresh) {
    const auto it = pool.ById.find(id);
    if (it != pool.ById.end() && (fresh || !withTickets)) {
      consider(*it->second);
    }
  });
  return found;
}

void WorkflowLeader::scheduleStep(const StepKey &key, Fleet &fleet, Moment at) {
  const Workflow *workflow = State.find(key.Workflow);
  const protocol::QueueConfig *queue =
      workflow ? findQueue(State.config(), workflow->Spec.queue()) : nullptr;
  const auto pool = queue ? fleet.Pools.find(queue->pool()) : fleet.Pools.end();
  if (pool == fleet.Pools.end()) {
    return;
  }
  OpenStep &open = Open.at(key);
  const protocol::StepSpec &spec = *State.findSpec(key);
  const std::vector<std::uint32_t> tasks = startable(key, open);
  const std::vector<PlannedRun> planned = planStep(
      spec, tasks,
      candidates(key, queue->has_advice(), fleet, pool->second, true, at));
  const Step &step = *State.findStep(key);
  for (const PlannedRun &it : planned) {
    assign(key, open, it, nextRun(step, spec, it.Index),
           checkpointOf(step, spec, it.Index), at);
  }
  if (spec.gang() && planned.empty() && !tasks.empty()) {
    reserveRunners(key, queue->has_advice(), tasks.size(), fleet, pool->second,
                   at);
  }
  if (queue->has_advice() && planned.size() < tasks.size()) {
    askForAdvice(key, startable(key, open), *queue, fleet, at);
  }
}

/// Keeps runners for a gang that waits for room.
void WorkflowLeader::reserveRunners(const StepKey &key, bool advised,
                                    std::size_t tasks, Fleet &fleet,
                                    const Fleet::Pool &pool, Moment at) const {
  if (fleet.Reservations == 0 || !Options.ReserveForGangs) {
    return;
  }
  std::vector<const RunnerEntry *> runners;
  for (const RunnerEntry *it : pool.Runners) {
    if (!fleet.Reserved.contains(it) &&
        (!advised || Advice.isApproved(key, it->Info.id()))) {
      runners.push_back(it);
    }
  }
  const auto reservation =
      reserveForGang(needsOf(*State.findSpec(key)), tasks, runners, at.Now);
  if (!reservation) {
    return;
  }
  --fleet.Reservations;
  for (const RunnerEntry *it : reservation->Runners) {
    fleet.Reserved[it] = reservation->Horizon;
  }
}

/// Whom to ask about: for a gang the runners with the most room, for others
/// the fullest that still have room, so that gangs find some.
std::vector<std::string>
WorkflowLeader::adviceCandidates(const StepKey &key, const std::string &queue,
                                 std::size_t tasks,
                                 const Fleet::Pool &pool) const {
  const protocol::StepSpec &spec = *State.findSpec(key);
  const Room needs = needsOf(spec);
  std::vector<const RunnerEntry *> runners = pool.Runners;
  std::erase_if(runners, [&](const RunnerEntry *it) {
    return Advice.wasAsked(key, it->Info.id());
  });
  const std::size_t wanted =
      std::min(Advice.callSize(queue, tasks), runners.size());
  const auto before = [&](const RunnerEntry *a, const RunnerEntry *b) {
    if (spec.gang()) {
      return a->Free.MilliProcessors > b->Free.MilliProcessors;
    }
    const bool fitsA = a->Free.holds(needs);
    const bool fitsB = b->Free.holds(needs);
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

/// Asks about a step once, and renews the tickets of just those runners on
/// which it would fit now. A gang keeps them meanwhile, as its renewal takes a
/// while.
void WorkflowLeader::askForAdvice(const StepKey &key,
                                  const std::vector<std::uint32_t> &tasks,
                                  const protocol::QueueConfig &queue,
                                  Fleet &fleet, Moment at) {
  const Fleet::Pool &pool = fleet.Pools.at(queue.pool());
  const protocol::StepSpec &spec = *State.findSpec(key);
  Advice.open(key, queue.name(), queue.advice());
  std::vector<std::string> wanted;
  if (Advice.isKnown(key)) {
    for (const PlannedRun &it :
         planStep(spec, tasks, candidates(key, true, fleet, pool, false, at))) {
      wanted.push_back(it.Runner->Info.id());
      if (spec.gang()) {
        fleet.Reserved.emplace(it.Runner, Options.KeepForTickets);
      }
    }
  }
  if (wanted.empty()) {
    askFurther(key, tasks.size(), queue.name(), pool, fleet, at);
    return;
  }
  std::sort(wanted.begin(), wanted.end());
  wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
  Advice.renew(key, wanted, at.Now);
}

/// A step that fits nowhere is asked about further runners after a while; until
/// then the first such steps have tickets at hand for when room opens.
void WorkflowLeader::askFurther(const StepKey &key, std::size_t tasks,
                                const std::string &queue,
                                const Fleet::Pool &pool, Fleet &fleet,
                                Moment at) {
  if (Advice.wantsToAsk(key, at.Now)) {
    Advice.ask(key, adviceCandidates(key, queue, tasks, pool), at.Now);
  }
  if (!Advice.isKnown(key) || !Advice.isSlow(key) || fleet.SlowRenewals == 0) {
    return;
  }
  --fleet.SlowRenewals;
  std::vector<std::string> approved = Advice.approvedRunners(key);
  if (approved.size() > Options.RunnersPerRenewal) {
    approved.resize(Options.RunnersPerRenewal);
  }
  Advice.renew(key, approved, at.Now);
}

void WorkflowLeader::assign(const StepKey &key, OpenStep &open,
                            const PlannedRun &planned, std::uint32_t run,
                            const std::string &checkpoint, Moment at) {
  const TaskKey task{key, planned.Index};
  const std::string runner = planned.Runner->Info.id();
  Holding holding;
  holding.Needs = needsOf(*State.findSpec(key));
  holding.Expected = Milliseconds(State.findSpec(key)->estimate_ms());
  holding.Payload = State.find(key.Workflow)->Spec.payload();
  holding.Checkpoint = checkpoint;
  if (const std::string *ticket = Advice.ticket(key, runner, at.Now)) {
    holding.Ticket = *ticket;
  }
  Book.reserve(runner, {task, run}, std::move(holding), at.Now);
  open.InFlight.insert(planned.Index);
  note(WorkflowEventKind::RunAssigned, {{"task", textOf(task)},
                                        {"run", std::to_string(run)},
                                        {"runner", runner}});
  protocol::WorkflowChange assigned;
  *assigned.mutable_assign()->mutable_task() = refOf(task);
  assigned.mutable_assign()->set_run(run);
  assigned.mutable_assign()->set_runner(runner);
  change(std::move(assigned));
}

} // namespace masticwinch::workflow
