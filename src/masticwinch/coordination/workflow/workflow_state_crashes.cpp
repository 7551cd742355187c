#include "masticwinch/coordination/workflow/workflow_state.hpp"

namespace masticwinch::workflow {

namespace {

/// Counts the crash of a runner under a task. A task that lasts starts anew
/// after it has run for long: its runners crash now and then for other reasons.
void recordCrash(Task &task, const Exposure &exposure, bool lasts) {
  if (lasts && exposure.Stable) {
    task.Crashes = 0;
    task.SuspectedCrashes = 0;
    return;
  }
  task.Crashes += 1;
  task.SuspectedCrashes += exposure.Suspected ? 1 : 0;
}

bool isGivenUp(const Task &task) {
  return task.SuspectedCrashes >= MaxSuspectedCrashes ||
         task.Crashes >= MaxCrashes;
}

} // namespace

bool WorkflowState::hasExposures(const std::string &runner,
                                 std::uint64_t bornUnixMs) const {
  const auto found = ExposedTasks.find(runner);
  if (found == ExposedTasks.end()) {
    return false;
  }
  for (const TaskKey &key : found->second) {
    const Task *task = findTask(key);
    if (!task) {
      continue;
    }
    for (const Exposure &it : task->Exposures) {
      if (it.Runner == runner && it.BornUnixMs == bornUnixMs) {
        return true;
      }
    }
  }
  return false;
}

void WorkflowState::expose(const protocol::ExposeRuns &expose) {
  for (const protocol::ExposedRun &it : expose.runs()) {
    const TaskKey key = taskKeyOf(it.task());
    auto *task = const_cast<Task *>(findTask(key));
    if (!task || task->Done || task->Run != it.run() ||
        task->Runner != expose.runner()) {
      continue;
    }
    task->Exposures.push_back(
        {expose.runner(), expose.born_unix_ms(), it.suspected(), it.stable()});
    ExposedTasks[expose.runner()].insert(key);
  }
}

/// Ends the exposures on this life of the runner, and fails the workflows whose
/// tasks are given up.
void WorkflowState::resolve(const protocol::ResolveRunner &resolve) {
  const auto found = ExposedTasks.find(resolve.runner());
  if (found == ExposedTasks.end()) {
    return;
  }
  std::set<TaskKey> &exposed = found->second;
  for (auto it = exposed.begin(); it != exposed.end();) {
    const TaskKey key = *it;
    auto *task = const_cast<Task *>(findTask(key));
    bool remains = false;
    if (task) {
      std::erase_if(task->Exposures, [&](const Exposure &exposure) {
        const bool same = exposure.Runner == resolve.runner();
        const bool ended =
            same && exposure.BornUnixMs <= resolve.born_unix_ms();
        if (ended && resolve.crashed() && !task->Done) {
          recordCrash(*task, exposure, findSpec(key.Step)->long_running());
        }
        remains = remains || (same && !ended);
        return ended;
      });
    }
    it = remains ? std::next(it) : exposed.erase(it);
    Workflow *workflow =
        task ? &Workflows.find(key.Step.Workflow)->second : nullptr;
    if (workflow && isGivenUp(*task) && !isFinal(workflow->CurrentPhase)) {
      workflow->CurrentPhase = Phase::Failed;
      updateCompletion(*workflow, key.Step.Occurrence);
    }
  }
  if (exposed.empty()) {
    ExposedTasks.erase(found);
  }
}

void WorkflowState::indexExposures(const Workflow &workflow) {
  for (const Occurrence &occurrence : workflow.Occurrences) {
    for (std::uint32_t step = 0; step < occurrence.Steps.size(); ++step) {
      const StepKey key{workflow.Spec.id(), occurrence.Number, step};
      const std::vector<Task> &tasks = occurrence.Steps[step].Tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        for (const Exposure &it : tasks[i].Exposures) {
          ExposedTasks[it.Runner].insert({key, i});
        }
      }
    }
  }
}

} // namespace masticwinch::workflow
