#include "masticwinch/coordination/workflow/runner_registry.hpp"

namespace masticwinch::workflow {

/// Adds a run to those of a runner. Together with vacate() the only place that
/// adds or removes runs, so that the sums of the accounts agree with them.
TrackedRun &RunnerRegistry::occupy(RunnerEntry &runner, const RunKey &run,
                                   TrackedRun trackedRun) {
  if (runner.Runs.contains(run)) {
    vacate(runner, run);
  }
  runner.Free -= trackedRun.Needs;
  if (!trackedRun.Account.empty()) {
    UsedByAccount[trackedRun.Account] += trackedRun.Needs;
  }
  return runner.Runs[run] = std::move(trackedRun);
}

void RunnerRegistry::vacate(RunnerEntry &runner, const RunKey &run) {
  const auto it = runner.Runs.find(run);
  const ResourceAmounts needs = it->second.Needs;
  runner.Free += needs;
  const auto used = UsedByAccount.find(it->second.Account);
  if (used != UsedByAccount.end()) {
    used->second -= needs;
    if (used->second == ResourceAmounts()) {
      UsedByAccount.erase(used);
    }
  }
  runner.Runs.erase(it);
}

ResourceAmounts RunnerRegistry::usedBy(const std::string &account) const {
  const auto it = UsedByAccount.find(account);
  return it == UsedByAccount.end() ? ResourceAmounts() : it->second;
}

void RunnerRegistry::release(RunnerEntry &runner, const RunKey &run,
                             protocol::RunEnd how, std::uint64_t number,
                             const std::string &checkpoint) {
  ObservedEnd end;
  end.Runner = runner.Info.id();
  end.BornUnixMs = runner.Info.born_unix_ms();
  end.Number = number;
  *end.End.mutable_task() = refOf(run.Task);
  end.End.set_run(run.Run);
  end.End.set_runner(runner.Info.id());
  end.End.set_how(how);
  end.End.set_checkpoint(checkpoint);
  end.Started = runner.Runs.at(run).Started;
  end.End.set_began(end.Started);
  // Last, as the arguments may be parts of the run.
  vacate(runner, run);
  Effects.Ends.push_back(std::move(end));
}

void RunnerRegistry::releaseAll(RunnerEntry &runner, protocol::RunEnd how) {
  while (!runner.Runs.empty()) {
    const auto first = runner.Runs.begin();
    const RunKey run = first->first;
    const std::string checkpoint = first->second.Checkpoint;
    release(runner, run, how, 0, checkpoint);
  }
}

/// Releases the runs that have not been ordered to start.
void RunnerRegistry::releaseReserved(RunnerEntry &runner) {
  std::vector<RunKey> reserved;
  for (const auto &[run, it] : runner.Runs) {
    if (it.Stage == RunStage::Reserved) {
      reserved.push_back(run);
    }
  }
  for (const RunKey &it : reserved) {
    const std::string checkpoint = runner.Runs.at(it).Checkpoint;
    release(runner, it, protocol::RUN_LOST, 0, checkpoint);
  }
}

} // namespace masticwinch::workflow
