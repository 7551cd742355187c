#include "masticwinch/coordination/workflow/caller_access.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/record_limits.hpp"
#include "masticwinch/coordination/workflow/runner_connections.hpp"
#include "masticwinch/coordination/workflow/workflow_answers.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>
#include <type_traits>

namespace masticwinch::workflow {

void WorkflowLeader::stored(const ProposedBatch &batch, Moment at) {
  for (const protocol::WorkflowChange &it : batch.Record.changes()) {
    applied(it, at);
    if (it.has_end()) {
      endStored(it.end().task().workflow());
    }
  }
  const auto ends = BatchEnds.extract(batch.Number);
  if (!ends.empty()) {
    for (const auto &[life, number] : ends.mapped()) {
      Registry.endStored(life, number);
    }
  }
  const auto waiting = BatchCallbacks.extract(batch.Number);
  if (!waiting.empty()) {
    for (const StoredCallback &it : waiting.mapped()) {
      it();
    }
  }
  SchedulePending = true;
}

/// Answers the queries that wait for a workflow's completion.
void WorkflowLeader::endStored(const std::string &id) {
  const auto it = EndsBeingStored.find(id);
  if (it != EndsBeingStored.end() && --it->second == 0) {
    EndsBeingStored.erase(it);
  }
  const Workflow *workflow = State.find(id);
  if (!workflow || isFinal(workflow->CurrentPhase)) {
    answerQueries(id);
  }
}

void WorkflowLeader::applied(const protocol::WorkflowChange &change,
                             Moment at) {
  if (change.has_accept()) {
    appliedAccept(change.accept().spec().id(), at);
  } else if (change.has_cancel()) {
    closeWorkflow(change.cancel().id(), at);
  } else if (change.has_assign()) {
    const protocol::AssignRun &assign = change.assign();
    const TaskKey task = taskKeyOf(assign.task());
    const auto open = OpenSteps.find(task.Step);
    if (open != OpenSteps.end()) {
      open->second.InFlight.erase(task.Index);
      open->second.Startable.reset();
    }
    const Task *stored = State.findTask(task);
    const RunKey run{task, assign.run()};
    const Workflow *workflow = State.find(task.Step.Workflow);
    if (stored && stored->Run == assign.run() &&
        stored->Runner == assign.runner() && !isFinal(workflow->CurrentPhase)) {
      Registry.start(assign.runner(), run, at.Now);
    } else {
      // The workflow ended while the assignment was being stored.
      Registry.stop(assign.runner(), run, at.Now);
    }
  } else if (change.has_end()) {
    appliedEnd(change.end(), at);
  } else if (change.has_begin()) {
    ProposedOccurrences.erase(change.begin().workflow());
    if (const Workflow *workflow = State.find(change.begin().workflow())) {
      refreshSteps(*workflow);
    }
  } else if (change.has_runner()) {
    const protocol::RunnerInfo &info = change.runner().runner();
    const auto pending = RecordsBeingStored.find(info.id());
    const bool last =
        pending == RecordsBeingStored.end() || --pending->second == 0;
    if (last && pending != RecordsBeingStored.end()) {
      RecordsBeingStored.erase(pending);
    }
    const RunnerEntry *known = Registry.find(info.id());
    if (!known && last) {
      logEvent(WorkflowEventKind::RunnerKnown,
               {{"runner", info.id()},
                {"address", info.address()},
                {"born", std::to_string(info.born_unix_ms())}});
    }
    if (last && (!known || !known->Unannounced)) {
      Registry.add(info, at.Now);
    }
  } else if (change.has_expose() || change.has_resolve()) {
    appliedCrashes(at);
  } else if (change.has_configure() ||
             (change.has_configure_part() &&
              change.configure_part().version() == State.config().version())) {
    logEvent(WorkflowEventKind::ConfigurationStored,
             {{"version", std::to_string(State.config().version())}});
  }
}

void WorkflowLeader::appliedAccept(const std::string &id, Moment at) {
  const Workflow *workflow = State.find(id);
  if (workflow) {
    registerWorkflow(*workflow, at);
  }
  Waiting.stored(id);
  const auto waiting = PendingSubmissions.extract(id);
  if (waiting.empty()) {
    return;
  }
  // A submission of a former leader with this id may have been stored first.
  const bool foreign = workflow && !mayAccess(State.config(), workflow->Account,
                                              waiting.mapped().Account);
  const protocol::WorkflowAnswer answer =
      foreign ? answerOf(protocol::VERDICT_INVALID, "the id is in use")
              : answerOf(protocol::VERDICT_OK);
  for (const AnswerCallback &it : waiting.mapped().Answers) {
    it(answer);
  }
}

void WorkflowLeader::appliedEnd(const protocol::EndRun &end, Moment at) {
  const TaskKey task = taskKeyOf(end.task());
  const Workflow *workflow = State.find(task.Step.Workflow);
  if (!workflow) {
    return;
  }
  if (isFinal(workflow->CurrentPhase)) {
    closeWorkflow(task.Step.Workflow, at);
    return;
  }
  const protocol::StepSpec *spec = State.findSpec(task.Step);
  const Step *step = State.findStep(task.Step);
  if (spec && spec->gang() && step && step->TasksLeft > 0) {
    stopStepRuns(task.Step, at);
  }
  refreshSteps(*workflow);
}

/// Stops all assigned runs of a step, for example of a gang of which a member
/// has ended.
void WorkflowLeader::stopStepRuns(const StepKey &key, Moment at) {
  const Step &step = *State.findStep(key);
  for (std::uint32_t i = 0; i < step.Tasks.size(); ++i) {
    const Task &it = step.Tasks[i];
    if (!it.Runner.empty()) {
      Registry.stop(it.Runner, {{key, i}, it.Run}, at.Now);
    }
  }
}

void WorkflowLeader::stopAllRuns(const Workflow &workflow, Moment at) {
  for (const Occurrence &occurrence : workflow.Occurrences) {
    for (std::uint32_t i = 0; i < occurrence.Steps.size(); ++i) {
      stopStepRuns({workflow.Spec.id(), occurrence.Number, i}, at);
    }
  }
}

void WorkflowLeader::closeWorkflow(const std::string &id, Moment at) {
  const Workflow *workflow = State.find(id);
  if (!workflow) {
    return;
  }
  stopAllRuns(*workflow, at);
  if (!EndedAt.try_emplace(id, at.Now).second) {
    return;
  }
  reportOutcome(*workflow, at);
  Recurring.erase(id);
  ConfirmedRunning.erase(id);
  closeSteps(id);
  Scheduling.erase(id);
}

/// Logs the end of a workflow, with its time and size, and counts its outcome;
/// of one that recurs, only its occurrences have an objective.
void WorkflowLeader::reportOutcome(const Workflow &workflow, Moment at) {
  const std::string &id = workflow.Spec.id();
  const auto known = Scheduling.find(id);
  if (known == Scheduling.end() || workflow.Spec.repeats() > 0) {
    logEvent(WorkflowEventKind::WorkflowEnded,
             {{"workflow", id},
              {"phase", std::string(nameOf(workflow.CurrentPhase))}});
    return;
  }
  const SchedulingInfo &info = known->second;
  const auto took =
      std::chrono::duration_cast<Milliseconds>(at.Now - info.Ranking.Accepted);
  const OutcomeKind outcome =
      outcomeOf(workflow.CurrentPhase, took, info.Ranking.Objective);
  countOutcome({workflow.Spec.queue(), info.Size, outcome});
  countEnded(workflow, outcome);
  logEvent(WorkflowEventKind::WorkflowEnded,
           {{"workflow", id},
            {"phase", std::string(nameOf(workflow.CurrentPhase))},
            {"queue", workflow.Spec.queue()},
            {"outcome", std::string(nameOf(outcome))},
            {"took_ms", std::to_string(took.count())},
            {"objective_ms", std::to_string(info.Ranking.Objective.count())},
            {"size", std::string(nameOf(info.Size))}});
}

void WorkflowLeader::countOutcome(WorkflowOutcome outcome) {
  Outcomes.add(outcome);
  Effects.Outcomes.push_back(std::move(outcome));
}

void WorkflowLeader::closeSteps(const std::string &id) {
  const auto first = OpenSteps.lower_bound({id, 0, 0});
  auto last = first;
  while (last != OpenSteps.end() && last->first.Workflow == id) {
    Advice.removeStep(last->first);
    ++last;
  }
  OpenSteps.erase(first, last);
}

/// Updates the open steps of a workflow from its state. An ended workflow has
/// none, although runners may still run some of its tasks.
void WorkflowLeader::refreshSteps(const Workflow &workflow) {
  const std::string &id = workflow.Spec.id();
  const auto known = Scheduling.find(id);
  if (isFinal(workflow.CurrentPhase) || known == Scheduling.end()) {
    closeSteps(id);
    return;
  }
  for (const Occurrence &occurrence : workflow.Occurrences) {
    for (std::uint32_t i = 0; i < occurrence.Steps.size(); ++i) {
      const StepKey key{id, occurrence.Number, i};
      const bool open = occurrence.Steps[i].TasksLeft > 0 && State.isReady(key);
      if (open) {
        OpenStep &step = OpenSteps[key];
        step.Parent = &workflow;
        step.Info = &known->second;
        step.Startable.reset();
        updateSuspicion(key, step, LedSince);
      } else if (OpenSteps.erase(key) > 0) {
        Advice.removeStep(key);
      }
    }
  }
  // Remove the steps of completed occurrences, which the state no longer
  // contains.
  for (auto it = OpenSteps.lower_bound({id, 0, 0});
       it != OpenSteps.end() && it->first.Workflow == id;) {
    if (State.findStep(it->first)) {
      ++it;
      continue;
    }
    Advice.removeStep(it->first);
    it = OpenSteps.erase(it);
  }
}

void WorkflowLeader::handleRemovedRunner(const RunnerLife &life) {
  logEvent(WorkflowEventKind::RunnerGone,
           {{"runner", life.Id}, {"born", std::to_string(life.BornUnixMs)}});
  Health.forget(life.Id);
  auto departure = Departures.extract(life.Id);
  if (departure.empty()) {
    forgetRunner(life);
    return;
  }
  forgetRunner(life, [waiting = std::move(departure.mapped().Waiting)] {
    for (const StoredCallback &it : waiting) {
      it();
    }
  });
}

void WorkflowLeader::logUntrackedEnd(const ObservedEnd &end) {
  const Task *task = State.findTask(end.Untracked->Run.Task);
  logEvent(WorkflowEventKind::RunEndUntracked,
           {{"task", textOf(end.Untracked->Run.Task)},
            {"run", std::to_string(end.Untracked->Run.Run)},
            {"runner", end.Runner},
            {"number", std::to_string(end.Number)},
            {"how", protocol::RunEnd_Name(end.Untracked->How)},
            {"task_done", !task || task->Done ? "yes" : "no"},
            {"task_run", std::to_string(task ? task->Run : 0)},
            {"task_runner", task ? task->Runner : std::string()}});
}

/// Proposes the end as done of a run that was released before, so that its task
/// doesn't run again unless it does already. The release may still be about to
/// be stored.
void WorkflowLeader::proposeLateEnd(const ObservedEnd &end) {
  const RunKey &run = end.Untracked->Run;
  const Task *task = State.findTask(run.Task);
  const bool waits = task && !task->Done && task->Run == run.Run;
  if (!waits || end.Untracked->How != protocol::RUN_DONE) {
    return;
  }
  protocol::WorkflowChange ended;
  *ended.mutable_end()->mutable_task() = refOf(run.Task);
  ended.mutable_end()->set_run(run.Run);
  ended.mutable_end()->set_runner(end.Runner);
  ended.mutable_end()->set_how(protocol::RUN_DONE);
  ended.mutable_end()->set_checkpoint(end.Untracked->Checkpoint);
  EndsBeingStored[run.Task.Step.Workflow] += 1;
  propose(std::move(ended));
}

/// Connections that a VM may have open to the runner.
std::uint32_t WorkflowLeader::connectionsTo(const std::string &runner) const {
  const RunnerEntry *known = Registry.find(runner);
  const protocol::PoolConfig *pool =
      known ? findPool(State.config(), known->Info.pool()) : nullptr;
  return connectionsPerVm(pool ? pool->max_connections() : 0);
}

/// Adds orders with the number of connections that they may use. One is kept
/// for the long poll.
template <class Order>
void WorkflowLeader::addOrders(std::vector<Order> &orders,
                               std::vector<Order> &added) {
  for (Order &it : added) {
    it.MaxConnections = connectionsTo(it.Runner);
    if constexpr (!std::is_same_v<Order, PollOrder>) {
      it.MaxConnections -= 1;
    }
    orders.push_back(std::move(it));
  }
}

void WorkflowLeader::collectRegistryEffects(Moment at) {
  RunnerRegistryEffects effects = Registry.takeEffects();
  addOrders(Effects.Starts, effects.Starts);
  addOrders(Effects.Stops, effects.Stops);
  addOrders(Effects.Polls, effects.Polls);
  for (const OverdueOrders &it : effects.Overdue) {
    logEvent(WorkflowEventKind::OrdersOverdue,
             {{"runner", it.Runner},
              {"look", it.Poll ? "yes" : "no"},
              {"starts_and_stops", std::to_string(it.StartsAndStops)}});
  }
  for (const RunKey &it : effects.Confirmed) {
    ConfirmedRunning.insert(it.Task.Step.Workflow);
  }
  collectLosses(effects, at);
  for (ObservedEnd &it : effects.Ends) {
    if (it.Number > 0) {
      PendingEnds.emplace_back(RunnerLife{it.Runner, it.BornUnixMs}, it.Number);
    }
    if (it.Untracked) {
      logUntrackedEnd(it);
      proposeLateEnd(it);
      continue;
    }
    const TaskKey task = taskKeyOf(it.End.task());
    logEvent(WorkflowEventKind::RunEnded,
             {{"task", textOf(task)},
              {"run", std::to_string(it.End.run())},
              {"runner", it.Runner},
              {"how", protocol::RunEnd_Name(it.End.how())},
              {"reported", it.Number > 0 ? "yes" : "no"},
              {"started", it.Started ? "yes" : "not confirmed"}});
    if (Health.runEnded(it.Runner, task.Step.Workflow, it.End.how(),
                        Registry.runners().size(), at.Now)) {
      logEvent(WorkflowEventKind::RunnerRests, {{"runner", it.Runner}});
    }
    const auto open = OpenSteps.find(task.Step);
    if (open != OpenSteps.end() && it.End.how() == protocol::RUN_FAILED) {
      open->second.FailedRunners.insert(it.Runner);
      open->second.LastFailure = at.Now;
    }
    EndsBeingStored[task.Step.Workflow] += 1;
    protocol::WorkflowChange ended;
    *ended.mutable_end() = std::move(it.End);
    propose(std::move(ended));
  }
  for (const RunnerLife &it : effects.Gone) {
    handleRemovedRunner(it);
  }
  for (const std::string &it : effects.Reborn) {
    forgetFormerLife(it);
  }
  if (effects.Deposed) {
    logEvent(WorkflowEventKind::Deposed, {});
  }
}

/// Begins the due occurrences of recurring workflows.
void WorkflowLeader::beginOccurrences(Moment at) {
  for (const std::string &id : Recurring) {
    const Workflow *workflow = State.find(id);
    if (!workflow || isFinal(workflow->CurrentPhase) ||
        ProposedOccurrences.contains(id)) {
      continue;
    }
    const protocol::WorkflowSpec &spec = workflow->Spec;
    const std::uint32_t next = workflow->OccurrencesBegun;
    if (next >= spec.repeats()) {
      continue;
    }
    if (at.UnixMs < dueUnixMs(spec, next)) {
      continue;
    }
    ProposedOccurrences[id] = next;
    protocol::WorkflowChange begun;
    begun.mutable_begin()->set_workflow(id);
    begun.mutable_begin()->set_occurrence(next);
    logEvent(WorkflowEventKind::OccurrenceBegun,
             {{"workflow", id}, {"occurrence", std::to_string(next)}});
    propose(std::move(begun));
  }
}

void WorkflowLeader::forgetEnded(Moment at) {
  for (auto it = EndedAt.begin(); it != EndedAt.end();) {
    const Workflow *workflow = State.find(it->first);
    if (at.Now - it->second < Options.EndedRetention ||
        (workflow && !workflow->Occurrences.empty())) {
      ++it;
      continue;
    }
    protocol::WorkflowChange forgotten;
    forgotten.mutable_forget()->set_id(it->first);
    propose(std::move(forgotten));
    it = EndedAt.erase(it);
  }
}

/// Removes runners that neither send heartbeats nor answer. Their leases have
/// expired long before.
void WorkflowLeader::forgetRunners(Moment at) {
  for (auto it = Heartbeats.begin(); it != Heartbeats.end();) {
    const RunnerEntry *runner = Registry.find(it->first);
    const bool silent = at.Now - it->second.At > Options.ForgetRunnerAfter &&
                        runner &&
                        at.Now - runner->LastAnswer > Options.ForgetRunnerAfter;
    if (!silent && runner && !runner->Gone) {
      ++it;
      continue;
    }
    if (silent) {
      Registry.forget(it->first);
    }
    it = Heartbeats.erase(it);
  }
}

void WorkflowLeader::tick(Moment at) {
  Registry.tick(at.Now);
  acknowledgeDepartures(at);
  answerOverdueQueries(at.Now);
  reportUnauthenticated(at.Now);
  Advice.expire(at.Now);
  beginOccurrences(at);
  if (at.Now >= NextCleanup) {
    NextCleanup = at.Now + Options.CleanupInterval;
    forgetEnded(at);
    forgetRunners(at);
  }
  SchedulePending = true;
}

WorkflowEffects WorkflowLeader::takeEffects(Moment at) {
  PassDone = false;
  collectRegistryEffects(at);
  if (SchedulePending && at.Now >= NextSchedule) {
    SchedulePending = false;
    NextSchedule =
        at.Now + Options.ScheduleInterval +
        Options.ScheduleIntervalPerRunner * Registry.runners().size();
    schedule(at);
    collectRegistryEffects(at);
    PassDone = true;
  }
  if (PendingRecord.changes_size() > 0 || !PendingEnds.empty()) {
    for (protocol::WorkflowRecord &it :
         packRecords(std::exchange(PendingRecord, {}))) {
      Effects.Batches.push_back({NextBatch++, std::move(it)});
    }
    // What waits for a change waits for the last record; they are stored in
    // order.
    const std::uint64_t last = Effects.Batches.back().Number;
    BatchCallbacks[last] = std::exchange(PendingCallbacks, {});
    BatchEnds[last] = std::exchange(PendingEnds, {});
  }
  return std::exchange(Effects, {});
}

void WorkflowLeader::effectsTook(SteadyTime::duration took, SteadyTime now) {
  if (PassDone) {
    const auto idle = took * (1000 - Options.MaxPassTimePermille) /
                      std::max(Options.MaxPassTimePermille, 1U);
    NextSchedule = std::max(NextSchedule, now + idle);
  }
}

} // namespace masticwinch::workflow
