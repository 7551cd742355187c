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
    const auto terms = KnownTerms.find(key.Workflow);
    const std::size_t tasks = startable(key, open).size();
    if (terms == KnownTerms.end() || tasks == 0) {
      continue;
    }
    const Milliseconds remaining = terms->second.Remaining[key.Step];
    const StepRank rank = rankOf(terms->second.Order, remaining, at.Now);
    const protocol::StepSpec &spec = *State.findSpec(key);
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
  for (const auto &[id, runner] : Book.runners()) {
    if (Book.isUsable(runner, at.Now) && !Health.isResting(id, at.Now)) {
      fleet.Usable[runner.Info.pool()].push_back(id);
    }
  }
  return fleet;
}

void WorkflowLeader::schedule(Moment at) {
  Fleet fleet = fleetNow(at);
  UsableProcessors.clear();
  for (const auto &[pool, runners] : fleet.Usable) {
    for (const std::string &it : runners) {
      UsableProcessors[pool] +=
          Book.find(it)->Info.capacity().milli_processors();
    }
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
std::vector<PlanCandidate> WorkflowLeader::candidates(
    const StepKey &key, const protocol::QueueConfig &queue, const Fleet &fleet,
    bool withTickets, Moment at) const {
  std::vector<PlanCandidate> found;
  const auto usable = fleet.Usable.find(queue.pool());
  if (usable == fleet.Usable.end()) {
    return found;
  }
  const protocol::StepSpec &spec = *State.findSpec(key);
  const Room needs = needsOf(spec);
  const OpenStep &open = Open.at(key);
  for (const std::string &id : usable->second) {
    const RunnerEntry &runner = *Book.find(id);
    const bool advised =
        !queue.has_advice() ||
        (withTickets ? Advice.ticket(key, id, at.Now) != nullptr
                     : Advice.isApproved(key, id));
    if (!runner.Free.holds(needs) || !advised || open.Avoid.contains(id) ||
        (!spec.required_label().empty() &&
         !runner.hasLabel(spec.required_label()))) {
      continue;
    }
    std::uint32_t ofStep = 0;
    if (spec.max_per_runner() > 0) {
      for (const auto &[run, holding] : runner.Holdings) {
        ofStep += run.Task.Step == key ? 1 : 0;
      }
    }
    found.push_back({&runner, runner.Free, ofStep});
  }
  return found;
}

void WorkflowLeader::scheduleStep(const StepKey &key, Fleet &fleet, Moment at) {
  const Workflow *workflow = State.find(key.Workflow);
  const protocol::QueueConfig *queue =
      workflow ? findQueue(State.config(), workflow->Spec.queue()) : nullptr;
  if (!queue) {
    return;
  }
  OpenStep &open = Open.at(key);
  const protocol::StepSpec &spec = *State.findSpec(key);
  const std::vector<std::uint32_t> tasks = startable(key, open);
  const std::vector<PlannedRun> planned =
      planStep(spec, tasks, candidates(key, *queue, fleet, true, at));
  const Step &step = *State.findStep(key);
  for (const PlannedRun &it : planned) {
    assign(key, open, it, nextRun(step, spec, it.Index),
           checkpointOf(step, spec, it.Index), at);
  }
  if (queue->has_advice() && planned.size() < tasks.size()) {
    askForAdvice(key, startable(key, open), *queue, fleet, at);
  }
}

/// Asks about a step once, and renews tickets when they are needed: those of
/// fast calls when there is room to use them, those of slow calls ahead of it,
/// for the steps that come first.
void WorkflowLeader::askForAdvice(const StepKey &key,
                                  const std::vector<std::uint32_t> &tasks,
                                  const protocol::QueueConfig &queue,
                                  Fleet &fleet, Moment at) {
  Advice.open(key, queue.advice());
  const auto usable = fleet.Usable.find(queue.pool());
  if (usable == fleet.Usable.end()) {
    return;
  }
  Advice.ask(key, usable->second, at.Now);
  if (!Advice.isKnown(key)) {
    return;
  }
  if (Advice.isSlow(key)) {
    if (fleet.SlowRenewals > 0) {
      --fleet.SlowRenewals;
      Advice.renew(key, Advice.approvedRunners(key), at.Now);
    }
    return;
  }
  std::vector<std::string> wanted;
  for (const PlannedRun &it :
       planStep(*State.findSpec(key), tasks,
                candidates(key, queue, fleet, false, at))) {
    wanted.push_back(it.Runner->Info.id());
  }
  std::sort(wanted.begin(), wanted.end());
  wanted.erase(std::unique(wanted.begin(), wanted.end()), wanted.end());
  Advice.renew(key, wanted, at.Now);
}

void WorkflowLeader::assign(const StepKey &key, OpenStep &open,
                            const PlannedRun &planned, std::uint32_t run,
                            const std::string &checkpoint, Moment at) {
  const TaskKey task{key, planned.Index};
  const std::string runner = planned.Runner->Info.id();
  Holding holding;
  holding.Needs = needsOf(*State.findSpec(key));
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
