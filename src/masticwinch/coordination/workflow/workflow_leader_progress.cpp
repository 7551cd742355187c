#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

void WorkflowLeader::stored(const ProposedBatch &batch, Moment at) {
  for (const protocol::WorkflowChange &it : batch.Record.changes()) {
    applied(it, at);
  }
  const auto ends = WaitingEnds.extract(batch.Number);
  if (!ends.empty()) {
    for (const auto &[runner, number] : ends.mapped()) {
      Registry.endStored(runner, number);
    }
  }
  const auto waiting = WaitingStored.extract(batch.Number);
  if (!waiting.empty()) {
    for (const StoredCallback &it : waiting.mapped()) {
      it();
    }
  }
  Dirty = true;
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
    const auto open = Open.find(task.Step);
    if (open != Open.end()) {
      open->second.InFlight.erase(task.Index);
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
    Beginning.erase(change.begin().workflow());
    if (const Workflow *workflow = State.find(change.begin().workflow())) {
      refreshSteps(*workflow);
    }
  } else if (change.has_runner()) {
    const protocol::RunnerInfo &info = change.runner().runner();
    if (!Registry.find(info.id())) {
      note(WorkflowEventKind::RunnerKnown,
           {{"runner", info.id()}, {"address", info.address()}});
    }
    Registry.add(info, at.Now);
  } else if (change.has_configure()) {
    note(WorkflowEventKind::ConfigurationStored,
         {{"version", std::to_string(State.config().version())}});
  }
}

void WorkflowLeader::appliedAccept(const std::string &id, Moment at) {
  if (const Workflow *workflow = State.find(id)) {
    registerWorkflow(*workflow, at);
  }
  const auto waiting = Accepting.extract(id);
  if (waiting.empty()) {
    return;
  }
  protocol::WorkflowAnswer answer;
  answer.set_verdict(protocol::VERDICT_OK);
  for (const AnswerCallback &it : waiting.mapped()) {
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
  if (spec && spec->gang() && step && step->Open > 0) {
    stopGang(task.Step, at);
  }
  refreshSteps(*workflow);
}

/// Stops what is left of a gang of which one member has ended.
void WorkflowLeader::stopGang(const StepKey &key, Moment at) {
  const Step &step = *State.findStep(key);
  for (std::uint32_t i = 0; i < step.Tasks.size(); ++i) {
    const Task &it = step.Tasks[i];
    if (!it.Runner.empty()) {
      Registry.stop(it.Runner, {{key, i}, it.Run}, at.Now);
    }
  }
}

void WorkflowLeader::stopAll(const Workflow &workflow, Moment at) {
  for (const Occurrence &occurrence : workflow.Occurrences) {
    for (std::uint32_t i = 0; i < occurrence.Steps.size(); ++i) {
      stopGang({workflow.Spec.id(), occurrence.Number, i}, at);
    }
  }
}

void WorkflowLeader::closeWorkflow(const std::string &id, Moment at) {
  const Workflow *workflow = State.find(id);
  if (!workflow) {
    return;
  }
  stopAll(*workflow, at);
  if (!EndedAt.try_emplace(id, at.Now).second) {
    return;
  }
  note(WorkflowEventKind::WorkflowEnded,
       {{"workflow", id},
        {"phase", std::string(nameOf(workflow->CurrentPhase))}});
  Timed.erase(id);
  SeenRunning.erase(id);
  closeSteps(id);
  Scheduling.erase(id);
}

void WorkflowLeader::closeSteps(const std::string &id) {
  const auto first = Open.lower_bound({id, 0, 0});
  auto last = first;
  while (last != Open.end() && last->first.Workflow == id) {
    Advice.removeStep(last->first);
    ++last;
  }
  Open.erase(first, last);
}

/// Brings the open steps of a workflow up to date with its state. One that is
/// over has none, although a runner may still hold some of its tasks.
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
      const bool open = occurrence.Steps[i].Open > 0 && State.isReady(key);
      if (open) {
        OpenStep &step = Open[key];
        step.Flow = &workflow;
        step.Info = &known->second;
      } else if (Open.erase(key) > 0) {
        Advice.removeStep(key);
      }
    }
  }
  // Steps of an occurrence that is over are not listed any more.
  for (auto it = Open.lower_bound({id, 0, 0});
       it != Open.end() && it->first.Workflow == id;) {
    if (State.findStep(it->first)) {
      ++it;
      continue;
    }
    Advice.removeStep(it->first);
    it = Open.erase(it);
  }
}

void WorkflowLeader::takeGone(const std::string &id) {
  note(WorkflowEventKind::RunnerGone, {{"runner", id}});
  Health.forget(id);
  protocol::WorkflowChange forgotten;
  forgotten.mutable_forget_runner()->set_id(id);
  change(std::move(forgotten));
}

void WorkflowLeader::collectRegistryEffects(Moment at) {
  RunnerRegistryEffects effects = Registry.takeEffects();
  std::move(effects.Starts.begin(), effects.Starts.end(),
            std::back_inserter(Out.Starts));
  std::move(effects.Stops.begin(), effects.Stops.end(),
            std::back_inserter(Out.Stops));
  std::move(effects.Polls.begin(), effects.Polls.end(),
            std::back_inserter(Out.Polls));
  for (const RunKey &it : effects.Confirmed) {
    SeenRunning.insert(it.Task.Step.Workflow);
  }
  for (ObservedEnd &it : effects.Ends) {
    if (it.Number > 0) {
      PendingEnds.emplace_back(it.Runner, it.Number);
    }
    if (!it.End.has_task()) {
      continue;
    }
    const TaskKey task = taskKeyOf(it.End.task());
    note(WorkflowEventKind::RunEnded,
         {{"task", textOf(task)},
          {"run", std::to_string(it.End.run())},
          {"runner", it.Runner},
          {"how", protocol::RunEnd_Name(it.End.how())}});
    if (Health.runEnded(it.Runner, task.Step.Workflow, it.End.how(),
                        Registry.runners().size(), at.Now)) {
      note(WorkflowEventKind::RunnerRests, {{"runner", it.Runner}});
    }
    const auto open = Open.find(task.Step);
    if (open != Open.end() && it.End.how() == protocol::RUN_FAILED) {
      open->second.Avoid.insert(it.Runner);
    }
    protocol::WorkflowChange ended;
    *ended.mutable_end() = std::move(it.End);
    change(std::move(ended));
  }
  for (const std::string &it : effects.Gone) {
    takeGone(it);
  }
  if (effects.Deposed) {
    note(WorkflowEventKind::Deposed, {});
  }
}

/// Begins what is due of workflows that run at set times.
void WorkflowLeader::beginOccurrences(Moment at) {
  for (const std::string &id : Timed) {
    const Workflow *workflow = State.find(id);
    if (!workflow || isFinal(workflow->CurrentPhase) ||
        Beginning.contains(id)) {
      continue;
    }
    const protocol::WorkflowSpec &spec = workflow->Spec;
    const std::uint32_t next = workflow->OccurrencesBegun;
    if (next >= spec.repeats()) {
      continue;
    }
    if (at.UnixMs < spec.first_at_unix_ms() + next * spec.interval_ms()) {
      continue;
    }
    Beginning[id] = next;
    protocol::WorkflowChange begun;
    begun.mutable_begin()->set_workflow(id);
    begun.mutable_begin()->set_occurrence(next);
    note(WorkflowEventKind::OccurrenceBegun,
         {{"workflow", id}, {"occurrence", std::to_string(next)}});
    change(std::move(begun));
  }
}

void WorkflowLeader::forgetEnded(Moment at) {
  for (auto it = EndedAt.begin(); it != EndedAt.end();) {
    const Workflow *workflow = State.find(it->first);
    if (at.Now - it->second < Options.KeepEnded ||
        (workflow && !workflow->Occurrences.empty())) {
      ++it;
      continue;
    }
    protocol::WorkflowChange forgotten;
    forgotten.mutable_forget()->set_id(it->first);
    change(std::move(forgotten));
    it = EndedAt.erase(it);
  }
}

/// A runner that is neither heard from nor answers is gone for good; leases
/// that it may have are over long before.
void WorkflowLeader::forgetRunners(Moment at) {
  for (auto it = LastHeartbeat.begin(); it != LastHeartbeat.end();) {
    const RunnerEntry *runner = Registry.find(it->first);
    const bool silent = at.Now - it->second > Options.ForgetRunnerAfter &&
                        runner &&
                        at.Now - runner->LastAnswer > Options.ForgetRunnerAfter;
    if (!silent && runner && !runner->Gone) {
      ++it;
      continue;
    }
    if (silent) {
      Registry.remove(it->first);
    }
    it = LastHeartbeat.erase(it);
  }
}

void WorkflowLeader::tick(Moment at) {
  Registry.tick(at.Now);
  Advice.expire(at.Now);
  beginOccurrences(at);
  if (at.Now >= NextCleaning) {
    NextCleaning = at.Now + Options.CleaningInterval;
    forgetEnded(at);
    forgetRunners(at);
  }
  Dirty = true;
}

WorkflowEffects WorkflowLeader::takeEffects(Moment at) {
  collectRegistryEffects(at);
  if (Dirty && at.Now >= NextSchedule) {
    Dirty = false;
    NextSchedule =
        at.Now + Options.ScheduleInterval +
        Options.ScheduleIntervalPerRunner * Registry.runners().size();
    schedule(at);
    collectRegistryEffects(at);
  }
  if (Pending.changes_size() > 0 || !PendingEnds.empty()) {
    const std::uint64_t number = NextBatch++;
    WaitingStored[number] = std::exchange(PendingStored, {});
    WaitingEnds[number] = std::exchange(PendingEnds, {});
    Out.Batches.push_back({number, std::exchange(Pending, {})});
  }
  return std::exchange(Out, {});
}

} // namespace masticwinch::workflow
