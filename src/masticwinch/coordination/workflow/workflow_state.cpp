#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include "masticwinch/coordination/workflow/queue_routes.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

bool isDone(const Occurrence &occurrence) {
  return std::all_of(occurrence.Steps.begin(), occurrence.Steps.end(),
                     [](const Step &it) { return it.TasksLeft == 0; });
}

bool hasAssignedRun(const Occurrence &occurrence) {
  for (const Step &step : occurrence.Steps) {
    for (const Task &it : step.Tasks) {
      if (!it.Runner.empty()) {
        return true;
      }
    }
  }
  return false;
}

/// Whether only the runner itself can tell that a run has ended this way.
bool isReported(protocol::RunEnd how) {
  return how != protocol::RUN_LOST && how != protocol::RUN_LAPSED;
}

void fillRecord(protocol::StepRecord &record, const Step &step) {
  record.set_gang_failures(step.GangFailures);
  record.set_last_failed_run(step.LastFailedRun);
  for (const Task &it : step.Tasks) {
    protocol::TaskRecord *task = record.add_tasks();
    task->set_done(it.Done);
    task->set_run(it.Run);
    task->set_failures(it.Failures);
    task->set_runner(it.Runner);
    task->set_checkpoint(it.Checkpoint);
    task->set_crashes(it.Crashes);
    task->set_suspected_crashes(it.SuspectedCrashes);
    for (const Exposure &exposure : it.Exposures) {
      protocol::ExposureRecord *exposed = task->add_exposures();
      exposed->set_runner(exposure.Runner);
      exposed->set_born_unix_ms(exposure.BornUnixMs);
      exposed->set_suspected(exposure.Suspected);
      exposed->set_stable(exposure.Stable);
    }
  }
}

Step stepOf(const protocol::StepRecord &record) {
  Step step;
  step.GangFailures = record.gang_failures();
  step.LastFailedRun = record.last_failed_run();
  for (const protocol::TaskRecord &it : record.tasks()) {
    Task &task = step.Tasks.emplace_back();
    task = {it.done(),       it.run(),     it.failures(),          it.runner(),
            it.checkpoint(), it.crashes(), it.suspected_crashes(), {}};
    for (const protocol::ExposureRecord &exposed : it.exposures()) {
      task.Exposures.push_back({exposed.runner(), exposed.born_unix_ms(),
                                exposed.suspected(), exposed.stable()});
    }
    step.TasksLeft += it.done() ? 0 : 1;
  }
  return step;
}

void fillRecord(protocol::WorkflowEntry &entry, const Workflow &workflow) {
  *entry.mutable_spec() = workflow.Spec;
  entry.set_account(workflow.Account);
  entry.set_accepted_at_unix_ms(workflow.AcceptedAtUnixMs);
  entry.set_max_attempts(workflow.MaxAttempts);
  entry.set_phase(static_cast<std::uint32_t>(workflow.CurrentPhase));
  entry.set_started(workflow.Started);
  entry.set_occurrences_begun(workflow.OccurrencesBegun);
  entry.set_occurrences_done(workflow.OccurrencesDone);
  for (const Occurrence &it : workflow.Occurrences) {
    protocol::OccurrenceRecord *record = entry.add_occurrences();
    record->set_number(it.Number);
    for (const Step &step : it.Steps) {
      fillRecord(*record->add_steps(), step);
    }
  }
}

Workflow workflowOf(const protocol::WorkflowEntry &entry) {
  Workflow workflow;
  workflow.Spec = entry.spec();
  workflow.Account = entry.account();
  workflow.AcceptedAtUnixMs = entry.accepted_at_unix_ms();
  workflow.MaxAttempts = entry.max_attempts();
  workflow.CurrentPhase = static_cast<Phase>(entry.phase());
  workflow.Started = entry.started();
  workflow.OccurrencesBegun = entry.occurrences_begun();
  workflow.OccurrencesDone = entry.occurrences_done();
  for (const protocol::OccurrenceRecord &it : entry.occurrences()) {
    Occurrence &occurrence = workflow.Occurrences.emplace_back();
    occurrence.Number = it.number();
    for (const protocol::StepRecord &step : it.steps()) {
      occurrence.Steps.push_back(stepOf(step));
    }
  }
  return workflow;
}

} // namespace

Occurrence *Workflow::find(std::uint32_t number) {
  return const_cast<Occurrence *>(std::as_const(*this).find(number));
}

const Occurrence *Workflow::find(std::uint32_t number) const {
  const auto it =
      std::find_if(Occurrences.begin(), Occurrences.end(),
                   [&](const Occurrence &o) { return o.Number == number; });
  return it == Occurrences.end() ? nullptr : &*it;
}

void WorkflowState::apply(const protocol::WorkflowRecord &record) {
  for (const protocol::WorkflowChange &it : record.changes()) {
    apply(it);
  }
}

void WorkflowState::apply(const protocol::WorkflowChange &change) {
  switch (change.change_case()) {
  case protocol::WorkflowChange::kAccept:
    return accept(change.accept());
  case protocol::WorkflowChange::kCancel:
    return cancel(change.cancel().id());
  case protocol::WorkflowChange::kAssign:
    return assign(change.assign());
  case protocol::WorkflowChange::kEnd:
    return end(change.end());
  case protocol::WorkflowChange::kBegin:
    return begin(change.begin());
  case protocol::WorkflowChange::kRunner:
    return record(change.runner().runner());
  case protocol::WorkflowChange::kForgetRunner:
    return forget(change.forget_runner());
  case protocol::WorkflowChange::kForget:
    Workflows.erase(change.forget().id());
    return;
  case protocol::WorkflowChange::kExpose:
    return expose(change.expose());
  case protocol::WorkflowChange::kResolve:
    return resolve(change.resolve());
  case protocol::WorkflowChange::kConfigure:
    return configure(change.configure());
  case protocol::WorkflowChange::kConfigurePart:
    return configurePart(change.configure_part());
  case protocol::WorkflowChange::CHANGE_NOT_SET:
    return;
  }
}

/// Records a runner, unless a later life of it is known.
void WorkflowState::record(const protocol::RunnerInfo &info) {
  const auto [it, added] = Runners.try_emplace(info.id());
  protocol::RunnerInfo &known = it->second;
  if (info.born_unix_ms() < known.born_unix_ms()) {
    return;
  }
  const bool restarted = !added && (known.restarted() ||
                                    info.born_unix_ms() > known.born_unix_ms());
  known = info;
  known.set_restarted(restarted);
}

/// Forgets a life of a runner and those before it. What isn't known of its end
/// by then counts as no crash.
void WorkflowState::forget(const protocol::ForgetRunner &forget) {
  protocol::ResolveRunner resolved;
  resolved.set_runner(forget.id());
  resolved.set_born_unix_ms(forget.born_unix_ms());
  resolve(resolved);
  const auto it = Runners.find(forget.id());
  if (it != Runners.end() &&
      it->second.born_unix_ms() <= forget.born_unix_ms()) {
    Runners.erase(it);
  }
}

void WorkflowState::configure(const protocol::CellConfig &config) {
  if (config.version() <= Config.version()) {
    return;
  }
  keepQueuesInUse();
  keepAccountsInUse();
  Config = config;
  indexQueues();
  Accounts = ClientAccounts(Config);
}

/// Keeps the queues of open workflows, which the next configuration may drop.
void WorkflowState::keepQueuesInUse() {
  std::map<std::string, protocol::QueueConfig> kept;
  for (const auto &[id, workflow] : Workflows) {
    const std::string &queue = workflow.Spec.queue();
    if (isFinal(workflow.CurrentPhase) || kept.contains(queue)) {
      continue;
    }
    if (const protocol::QueueConfig *known = findQueue(queue)) {
      kept.emplace(queue, *known);
    }
  }
  DroppedQueues = std::move(kept);
}

/// Keeps the accounts of open workflows, which the next configuration may drop:
/// their limits hold on.
void WorkflowState::keepAccountsInUse() {
  std::map<std::string, protocol::ClientAccount> kept;
  for (const auto &[id, workflow] : Workflows) {
    const std::string &name = workflow.Account;
    // A recurring workflow has no occurrences while it waits for the next one.
    const bool over =
        isFinal(workflow.CurrentPhase) && workflow.Occurrences.empty();
    if (name.empty() || over || kept.contains(name)) {
      continue;
    }
    if (const protocol::ClientAccount *known = findAccount(name)) {
      kept.emplace(name, *known).first->second.clear_keys();
    }
  }
  DroppedAccounts = std::move(kept);
}

const protocol::ClientAccount *
WorkflowState::findAccount(const std::string &name) const {
  if (const protocol::ClientAccount *known = Accounts.find(name)) {
    return known;
  }
  const auto it = DroppedAccounts.find(name);
  return it == DroppedAccounts.end() ? nullptr : &it->second;
}

void WorkflowState::indexQueues() {
  QueuePositions.clear();
  for (int i = 0; i < Config.queues_size(); ++i) {
    QueuePositions.try_emplace(queueId(Config.queues(i)), i);
  }
  for (int i = 0; i < Config.queues_size(); ++i) {
    QueuePositions.try_emplace(Config.queues(i).name(), i);
  }
}

const protocol::QueueConfig *
WorkflowState::findQueue(const std::string &id) const {
  if (const auto it = QueuePositions.find(id); it != QueuePositions.end()) {
    return &Config.queues(it->second);
  }
  const auto it = DroppedQueues.find(id);
  return it == DroppedQueues.end() ? nullptr : &it->second;
}

/// Adds a part to those before it. The first part of a newer version replaces
/// parts of which the rest was never stored.
void WorkflowState::configurePart(const protocol::ConfigurePart &part) {
  if (part.version() <= Config.version()) {
    return;
  }
  if (part.offset() == 0) {
    PartialConfig = part;
  } else if (part.version() == PartialConfig.version() &&
             part.offset() == PartialConfig.data().size()) {
    PartialConfig.mutable_data()->append(part.data());
  } else {
    return;
  }
  if (PartialConfig.data().size() < PartialConfig.total_bytes()) {
    return;
  }
  protocol::CellConfig config;
  if (config.ParseFromString(PartialConfig.data())) {
    configure(config);
  }
  PartialConfig.Clear();
}

void WorkflowState::accept(const protocol::AcceptWorkflow &accept) {
  const auto [it, added] = Workflows.try_emplace(accept.spec().id());
  if (!added) {
    return;
  }
  Workflow &workflow = it->second;
  workflow.Spec = accept.spec();
  workflow.Account = accept.account();
  workflow.AcceptedAtUnixMs = accept.at_unix_ms();
  workflow.MaxAttempts = std::max<std::uint32_t>(accept.max_attempts(), 1);
  if (accept.has_queue() && !findQueue(accept.spec().queue())) {
    DroppedQueues[accept.spec().queue()] = accept.queue();
  }
  if (workflow.Spec.repeats() == 0) {
    beginOccurrence(workflow, 0);
  }
}

void WorkflowState::beginOccurrence(Workflow &workflow, std::uint32_t number) {
  Occurrence &occurrence = workflow.Occurrences.emplace_back();
  occurrence.Number = number;
  workflow.OccurrencesBegun = number + 1;
  for (const protocol::StepSpec &it : workflow.Spec.steps()) {
    Step &step = occurrence.Steps.emplace_back();
    step.Tasks.resize(it.count());
    step.TasksLeft = it.count();
  }
}

void WorkflowState::begin(const protocol::BeginOccurrence &begin) {
  const auto it = Workflows.find(begin.workflow());
  if (it == Workflows.end() || isFinal(it->second.CurrentPhase) ||
      begin.occurrence() != it->second.OccurrencesBegun) {
    return;
  }
  beginOccurrence(it->second, begin.occurrence());
}

void WorkflowState::cancel(const std::string &id) {
  const auto it = Workflows.find(id);
  if (it == Workflows.end() || isFinal(it->second.CurrentPhase)) {
    return;
  }
  it->second.CurrentPhase = Phase::Cancelled;
  std::erase_if(it->second.Occurrences,
                [](const Occurrence &o) { return !hasAssignedRun(o); });
}

void WorkflowState::assign(const protocol::AssignRun &assign) {
  const TaskKey key = taskKeyOf(assign.task());
  const auto found = Workflows.find(key.Step.Workflow);
  auto *task = const_cast<Task *>(findTask(key));
  if (!task || isFinal(found->second.CurrentPhase) || task->Done ||
      !task->Runner.empty() || assign.run() <= task->Run) {
    return;
  }
  task->Run = assign.run();
  task->Runner = assign.runner();
  found->second.CurrentPhase = Phase::Running;
}

void WorkflowState::end(const protocol::EndRun &end) {
  const TaskKey key = taskKeyOf(end.task());
  const auto found = Workflows.find(key.Step.Workflow);
  auto *task = const_cast<Task *>(findTask(key));
  if (!task || task->Run != end.run()) {
    return;
  }
  // The run was released, for example as lapsed, before its end became known.
  const bool doneLate = task->Runner.empty() && end.how() == protocol::RUN_DONE;
  if (task->Runner != end.runner() && !doneLate) {
    return;
  }
  if (isReported(end.how())) {
    // A later crash of the runner isn't one under this run.
    std::erase_if(task->Exposures, [&](const Exposure &it) {
      return it.Runner == end.runner();
    });
  }
  Workflow &workflow = found->second;
  workflow.Started = workflow.Started || end.began() || isReported(end.how());
  task->Runner.clear();
  if (!end.checkpoint().empty()) {
    task->Checkpoint = end.checkpoint();
  }
  const protocol::StepSpec &spec =
      workflow.Spec.steps(static_cast<int>(key.Step.Step));
  auto &step = const_cast<Step &>(*findStep(key.Step));
  if (end.how() == protocol::RUN_DONE && !spec.long_running()) {
    recordDone(spec, step, *task);
  } else if (end.how() == protocol::RUN_FAILED) {
    recordFailure(workflow, spec, step, *task, end.run());
  }
  updateCompletion(workflow, key.Step.Occurrence);
}

void WorkflowState::recordDone(const protocol::StepSpec &spec, Step &step,
                               Task &task) {
  if (!spec.gang()) {
    step.TasksLeft -= task.Done ? 0 : 1;
    task.Done = true;
    return;
  }
  // The members of a gang end together, so the first end completes them all.
  for (Task &it : step.Tasks) {
    it.Done = true;
  }
  step.TasksLeft = 0;
}

void WorkflowState::recordFailure(Workflow &workflow,
                                  const protocol::StepSpec &spec, Step &step,
                                  Task &task, std::uint32_t run) {
  if (spec.long_running() || task.Done) {
    return;
  }
  task.Failures += 1;
  std::uint32_t failures = task.Failures;
  if (spec.gang()) {
    step.GangFailures += step.LastFailedRun == run ? 0 : 1;
    step.LastFailedRun = run;
    failures = step.GangFailures;
  }
  if (failures >= workflow.MaxAttempts && !isFinal(workflow.CurrentPhase)) {
    workflow.CurrentPhase = Phase::Failed;
  }
}

/// Removes a completed occurrence, and completes the workflow with its last
/// one. Of a workflow that has ended, removes the occurrences without an
/// assigned run.
void WorkflowState::updateCompletion(Workflow &workflow, std::uint32_t number) {
  const Occurrence *occurrence = workflow.find(number);
  if (isFinal(workflow.CurrentPhase)) {
    std::erase_if(workflow.Occurrences,
                  [](const Occurrence &it) { return !hasAssignedRun(it); });
    return;
  }
  if (!isDone(*occurrence)) {
    return;
  }
  std::erase_if(workflow.Occurrences,
                [&](const Occurrence &it) { return it.Number == number; });
  workflow.OccurrencesDone += 1;
  if (workflow.OccurrencesDone == workflow.occurrenceCount()) {
    workflow.CurrentPhase = Phase::Completed;
  }
}

const Workflow *WorkflowState::find(const std::string &id) const {
  const auto it = Workflows.find(id);
  return it == Workflows.end() ? nullptr : &it->second;
}

const Step *WorkflowState::findStep(const StepKey &key) const {
  const Workflow *workflow = find(key.Workflow);
  const Occurrence *occurrence =
      workflow ? workflow->find(key.Occurrence) : nullptr;
  if (!occurrence || key.Step >= occurrence->Steps.size()) {
    return nullptr;
  }
  return &occurrence->Steps[key.Step];
}

const Task *WorkflowState::findTask(const TaskKey &key) const {
  const Step *step = findStep(key.Step);
  return step && key.Index < step->Tasks.size() ? &step->Tasks[key.Index]
                                                : nullptr;
}

const protocol::StepSpec *WorkflowState::findSpec(const StepKey &key) const {
  const Workflow *workflow = find(key.Workflow);
  if (!workflow ||
      key.Step >= static_cast<std::uint32_t>(workflow->Spec.steps_size())) {
    return nullptr;
  }
  return &workflow->Spec.steps(static_cast<int>(key.Step));
}

bool WorkflowState::isReady(const StepKey &key) const {
  const protocol::StepSpec *spec = findSpec(key);
  if (!spec || !findStep(key)) {
    return false;
  }
  return std::all_of(
      spec->after().begin(), spec->after().end(), [&](std::uint32_t before) {
        const Step *step = findStep({key.Workflow, key.Occurrence, before});
        return step && step->TasksLeft == 0;
      });
}

protocol::WorkflowSnapshot WorkflowState::snapshot() const {
  protocol::WorkflowSnapshot snapshot;
  *snapshot.mutable_config() = Config;
  *snapshot.mutable_partial_config() = PartialConfig;
  // Sorted, so that equal states have equal bytes.
  std::map<std::string, const Workflow *> sorted;
  for (const auto &[id, workflow] : Workflows) {
    sorted.emplace(id, &workflow);
  }
  for (const auto &[id, workflow] : sorted) {
    fillRecord(*snapshot.add_workflows(), *workflow);
  }
  for (const auto &[id, runner] : Runners) {
    *snapshot.add_runners() = runner;
  }
  for (const auto &[id, queue] : DroppedQueues) {
    protocol::DroppedQueue *dropped = snapshot.add_dropped_queues();
    dropped->set_id(id);
    *dropped->mutable_queue() = queue;
  }
  for (const auto &[name, account] : DroppedAccounts) {
    *snapshot.add_dropped_accounts() = account;
  }
  return snapshot;
}

void WorkflowState::restore(const protocol::WorkflowSnapshot &snapshot) {
  Config = snapshot.config();
  PartialConfig = snapshot.partial_config();
  indexQueues();
  Accounts = ClientAccounts(Config);
  DroppedAccounts.clear();
  for (const protocol::ClientAccount &it : snapshot.dropped_accounts()) {
    DroppedAccounts.emplace(it.name(), it);
  }
  DroppedQueues.clear();
  for (const protocol::DroppedQueue &it : snapshot.dropped_queues()) {
    DroppedQueues.emplace(it.id(), it.queue());
  }
  Workflows.clear();
  Runners.clear();
  ExposedTasks.clear();
  for (const protocol::WorkflowEntry &it : snapshot.workflows()) {
    const auto added = Workflows.emplace(it.spec().id(), workflowOf(it)).first;
    indexExposures(added->second);
  }
  for (const protocol::RunnerInfo &it : snapshot.runners()) {
    Runners.emplace(it.id(), it);
  }
}

} // namespace masticwinch::workflow
