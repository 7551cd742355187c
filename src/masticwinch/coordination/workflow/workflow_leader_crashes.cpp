#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>
#include <functional>

namespace masticwinch::workflow {

/// Stores which runs were exposed to lost runners and what became of these, in
/// this order.
void WorkflowLeader::collectLosses(RunnerRegistryEffects &effects, Moment at) {
  for (LostRunner &it : effects.Lost) {
    LostSince[it.Life.Id] = at.Now;
    Containment.lost(std::move(it), at.Now);
  }
  const bool now = !effects.Resolved.empty() || !effects.Gone.empty();
  for (CrashContainment::Judgement &judgement :
       Containment.judge(at.Now, now)) {
    protocol::ExposeRuns &it = judgement.Change;
    std::set<std::string> queues;
    std::string suspects;
    for (const protocol::ExposedRun &run : it.runs()) {
      const Workflow *workflow =
          run.suspected() ? State.find(run.task().workflow()) : nullptr;
      if (workflow) {
        queues.insert(workflow->Spec.queue());
        suspects += suspects.empty() ? "" : ",";
        suspects += textOf(taskKeyOf(run.task()));
      }
    }
    // A call that timed out is no reason to put queues on probation.
    for (const std::string &queue : queues) {
      if (judgement.Disconnected) {
        Containment.recordSuspect(queue, at.Now);
      }
    }
    logEvent(WorkflowEventKind::RunsExposed,
             {{"runner", it.runner()},
              {"runs", std::to_string(it.runs_size())},
              {"suspects", suspects}});
    protocol::WorkflowChange exposed;
    *exposed.mutable_expose() = std::move(it);
    propose(std::move(exposed));
  }
  for (const ResolvedRunner &it : effects.Resolved) {
    logEvent(WorkflowEventKind::RunnerResolved,
             {{"runner", it.Life.Id},
              {"born", std::to_string(it.Life.BornUnixMs)},
              {"crashed", it.Crashed ? "yes" : "no"}});
    protocol::WorkflowChange resolved;
    resolved.mutable_resolve()->set_runner(it.Life.Id);
    resolved.mutable_resolve()->set_born_unix_ms(it.Life.BornUnixMs);
    resolved.mutable_resolve()->set_crashed(it.Crashed);
    propose(std::move(resolved));
    LostSince.erase(it.Life.Id);
  }
}

/// Handles that the exposures or crashes of tasks have changed.
void WorkflowLeader::appliedCrashes(Moment at) {
  std::set<std::string> ended;
  for (auto &[key, open] : OpenSteps) {
    if (isFinal(open.Parent->CurrentPhase)) {
      ended.insert(key.Workflow);
    } else {
      updateSuspicion(key, open, at.Now);
    }
  }
  for (const std::string &it : ended) {
    logEvent(WorkflowEventKind::WorkflowGivenUp, {{"workflow", it}});
    closeWorkflow(it, at);
  }
}

void WorkflowLeader::updateSuspicion(const StepKey &key, OpenStep &open,
                                     SteadyTime now) {
  const Step *step = State.findStep(key);
  const bool suspect =
      step &&
      std::any_of(step->Tasks.begin(), step->Tasks.end(),
                  [](const Task &it) { return !it.Done && it.isSuspect(); });
  if (!suspect) {
    open.SuspectSince.reset();
  } else if (!open.SuspectSince) {
    open.SuspectSince = now;
  }
}

/// Whether the step is kept apart from the others. A gang isn't: it needs too
/// many runners.
bool WorkflowLeader::isIsolated(const OpenStep &open,
                                const protocol::StepSpec &spec,
                                SteadyTime now) const {
  return open.SuspectSince && !spec.gang() &&
         now - *open.SuspectSince < Containment.options().IsolationPatience;
}

/// Whether the task waits for the fate of runners that were lost under it.
bool WorkflowLeader::waitsForFate(const Task &task, SteadyTime now) const {
  if (task.Exposures.empty()) {
    return false;
  }
  const auto since = LostSince.find(task.Exposures.back().Runner);
  return Containment.mustWait(
      task, since == LostSince.end() ? LedSince : since->second, now);
}

/// Chooses the runners that are kept for suspects and for queues on probation.
/// Runners that are down count, so that the share of those that may be down at
/// the same time is bounded. A runner that starts again keeps its place.
void WorkflowLeader::keepApart(Fleet &fleet, SteadyTime now) const {
  const bool probation = Containment.anyOnProbation(now);
  const bool suspects =
      std::any_of(OpenSteps.begin(), OpenSteps.end(), [&](const auto &it) {
        return it.second.SuspectSince &&
               isIsolated(it.second, *State.findSpec(it.first), now) &&
               !startableTasks(it.first, it.second, now).empty();
      });
  if (!probation && !suspects) {
    return;
  }
  std::map<std::pair<std::size_t, std::string>,
           std::vector<const RunnerEntry *>>
      places;
  std::int64_t free = 0;
  std::int64_t all = 0;
  for (const auto &[id, runner] : Registry.runners()) {
    if (!runner.Gone && !runner.Info.draining()) {
      const std::string &address = runner.Info.address();
      places[{std::hash<std::string>()(address), address}].push_back(&runner);
      free += std::max<std::int64_t>(runner.Free.MilliProcessors, 0);
      all += runner.Info.capacity().milli_processors();
    }
  }
  const CrashContainmentOptions &options = Containment.options();
  const auto share = [&](std::uint64_t permille) {
    return std::max<std::size_t>(places.size() * permille / 1000, 1);
  };
  const std::size_t isolated = suspects ? share(options.IsolationPermille) : 0;
  if (share(options.ProbationPermille) < options.MinProbationRunners) {
    return;
  }
  const bool idle = free * 1000 > all * options.IdlePermille;
  const std::size_t confined =
      share(idle ? options.IdleProbationPermille : options.ProbationPermille);
  const std::size_t kept =
      probation ? std::max(confined, isolated + 1) : isolated;
  std::size_t place = 0;
  for (const auto &[address, runners] : places) {
    if (place >= kept) {
      break;
    }
    auto &set = place < isolated ? fleet.Isolation : fleet.Probation;
    set.insert(runners.begin(), runners.end());
    ++place;
  }
}

/// Whether the step is confined to the runners kept for queues on probation.
bool WorkflowLeader::isConfined(const OpenStep &open,
                                const protocol::StepSpec &spec,
                                const Fleet &fleet, SteadyTime now) const {
  return !spec.gang() && !fleet.Probation.empty() &&
         Containment.isOnProbation(open.Parent->Spec.queue(), now);
}

/// Whether the runner is kept for other steps than this one.
bool WorkflowLeader::isKeptApart(const OpenStep &open,
                                 const protocol::StepSpec &spec,
                                 const RunnerEntry &runner, const Fleet &fleet,
                                 SteadyTime now) const {
  if (fleet.Isolation.empty() && fleet.Probation.empty()) {
    return false;
  }
  if (isIsolated(open, spec, now)) {
    return !fleet.Isolation.contains(&runner);
  }
  if (isConfined(open, spec, fleet, now)) {
    return !fleet.Probation.contains(&runner);
  }
  return fleet.Isolation.contains(&runner) || fleet.Probation.contains(&runner);
}

/// Whether a start of the step has to wait for other runs on a runner that is
/// kept for such steps: a suspect runs only beside other suspects, and steps on
/// probation start one after the other.
bool WorkflowLeader::mustFollowOthers(const StepKey &key, const OpenStep &open,
                                      const protocol::StepSpec &spec,
                                      const RunnerEntry &runner,
                                      const Fleet &fleet,
                                      SteadyTime now) const {
  if (isIsolated(open, spec, now)) {
    return std::any_of(
        runner.Runs.begin(), runner.Runs.end(), [&](const auto &it) {
          const auto other = OpenSteps.find(it.first.Task.Step);
          return other != OpenSteps.end() && !other->second.SuspectSince;
        });
  }
  const Milliseconds spacing = Containment.options().ProbationSpacing;
  return isConfined(open, spec, fleet, now) &&
         std::any_of(runner.Runs.begin(), runner.Runs.end(),
                     [&](const auto &it) {
                       return it.first.Task.Step != key &&
                              now - it.second.OccupiedSince < spacing;
                     });
}

/// Processors of the usable runners that are kept for queues on probation, in
/// thousandths of a core.
void WorkflowLeader::countProbation(const Fleet &fleet) {
  ProbationProcessors.clear();
  if (fleet.Probation.empty()) {
    return;
  }
  for (const auto &[name, pool] : fleet.Pools) {
    ProbationProcessors[name] = 0;
    for (const RunnerEntry *it : pool.Runners) {
      if (fleet.Probation.contains(it)) {
        ProbationProcessors[name] += it->Info.capacity().milli_processors();
      }
    }
  }
}

/// Logs which queues have come on or off probation, with the number of runners
/// that are kept for such queues; 0 if the cell is too small for that.
void WorkflowLeader::reportProbation(const Fleet &fleet, SteadyTime now) {
  std::set<std::string> queues = Containment.queuesOnProbation(now);
  const auto report = [&](WorkflowEventKind kind,
                          const std::set<std::string> &changed,
                          const std::set<std::string> &others) {
    for (const std::string &it : changed) {
      if (!others.contains(it)) {
        logEvent(kind, {{"queue", it},
                        {"runners", std::to_string(fleet.Probation.size())}});
      }
    }
  };
  report(WorkflowEventKind::ProbationBegan, queues, ProbationQueues);
  report(WorkflowEventKind::ProbationEnded, ProbationQueues, queues);
  ProbationQueues = std::move(queues);
}

} // namespace masticwinch::workflow
