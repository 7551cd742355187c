#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// The cap that is in force for an account, also for one that was dropped from
/// the configuration; no limit for work without an account.
const protocol::Amounts &
WorkflowLeader::capOf(const std::string &account) const {
  const protocol::ClientAccount *found =
      account.empty() ? nullptr : State.findAccount(account);
  return found ? found->cap() : protocol::Amounts::default_instance();
}

/// Nothing if the account has no cap.
std::optional<WaitingWork::CappedAccount>
WorkflowLeader::cappedAccount(const std::string &account) const {
  const protocol::Amounts &cap = capOf(account);
  if (!isLimited(cap)) {
    return std::nullopt;
  }
  const ResourceAmounts used = Registry.usedBy(account);
  const ResourceAmounts limits = amountsOf(cap);
  const bool full =
      (limits.MilliProcessors > 0 &&
       used.MilliProcessors >= limits.MilliProcessors) ||
      (limits.MemoryMb > 0 && used.MemoryMb >= limits.MemoryMb) ||
      (limits.Accelerators > 0 && used.Accelerators >= limits.Accelerators);
  return WaitingWork::CappedAccount{account, cap, full};
}

/// How many of the tasks of a step may start below the cap of the workflow's
/// account; in a pass also below what its claims will use.
std::size_t WorkflowLeader::belowCap(const Workflow &workflow,
                                     const protocol::StepSpec &step,
                                     std::size_t tasks,
                                     const Fleet *fleet) const {
  const protocol::Amounts &cap = capOf(workflow.Account);
  if (!isLimited(cap)) {
    return tasks;
  }
  ResourceAmounts used = Registry.usedBy(workflow.Account);
  if (fleet) {
    const auto claimed = fleet->ClaimedOfAccounts.find(workflow.Account);
    if (claimed != fleet->ClaimedOfAccounts.end()) {
      used += claimed->second;
    }
  }
  return workflow::startableBelowCap(cap, used, step, tasks);
}

/// Number of waiting tasks of a step that may start below its account's cap.
std::size_t WorkflowLeader::startableBelowCap(const StepKey &key,
                                              const OpenStep &open) const {
  return belowCap(*open.Parent, open.Parent->Spec.steps(int(key.Step)),
                  startableCount(key, open));
}

/// Counts the waiting work of the accounts with caps, and returns their steps
/// that this pass does not try: those that don't fit below the cap, and those
/// that rank behind as much work as fits.
std::unordered_set<const StepKey *> WorkflowLeader::stepsAboveCaps(Moment at) {
  struct Candidate {
    bool WithoutClaim = true;
    RankedStep Ranked;
    WaitingStep Step;
  };
  std::unordered_set<const StepKey *> above;
  std::unordered_map<std::string, std::vector<Candidate>> byAccount;
  for (auto &[key, open] : OpenSteps) {
    const std::string &account = open.Parent->Account;
    const protocol::Amounts &cap = capOf(account);
    if (!isLimited(cap)) {
      continue;
    }
    if (!open.Startable) {
      open.Startable = startableCount(key, open);
    }
    const std::size_t tasks = *open.Startable;
    if (tasks == 0) {
      continue;
    }
    const protocol::StepSpec &spec = open.Parent->Spec.steps(int(key.Step));
    const StepRank rank =
        rankOf(open.Info->Ranking, open.Info->CriticalPaths[key.Step], at.Now,
               Options.Ranking);
    if (countsAsWaiting(rank, open.Parent->Spec.queue(), spec.gang())) {
      Waiting.addForAccount(account, rank.Priority,
                            microsOnCap(spec, tasks, cap));
    }
    const bool late = rank.Forecast != CompletionForecast::OnTime;
    byAccount[account].push_back(
        {!spec.gang() || !Claims.find(key),
         {rank, &key, std::nullopt},
         {&key, needsOf(spec), tasks, spec.gang(), late}});
    above.insert(&key);
  }
  for (auto &[account, candidates] : byAccount) {
    // A gang that holds room on runners goes before others.
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) {
                return a.WithoutClaim != b.WithoutClaim ? b.WithoutClaim
                                                        : a.Ranked < b.Ranked;
              });
    std::vector<WaitingStep> steps;
    steps.reserve(candidates.size());
    for (const Candidate &it : candidates) {
      steps.push_back(it.Step);
    }
    for (const std::size_t it : Capped.select(
             account, capOf(account), Registry.usedBy(account), steps)) {
      above.erase(steps[it].Key);
    }
  }
  Capped.endPass();
  return above;
}

/// Keeps what a waiting step will use of its account's cap from the steps after
/// it in rank order. Room on runners that is held for it would else stand idle
/// for longer.
void WorkflowLeader::claimOfAccount(const StepKey &key, std::size_t tasks,
                                    Fleet &fleet) const {
  const std::string &account = OpenSteps.at(key).Parent->Account;
  const protocol::Amounts &cap = capOf(account);
  if (isLimited(cap)) {
    fleet.ClaimedOfAccounts[account] +=
        limitedNeeds(cap, needsOf(*State.findSpec(key)), tasks);
  }
}

/// The delay after which a caller may retry whose account has so much waiting
/// work below its cap that the submission would end late; nothing if it would
/// not. Such a caller gets no turn: it waits for its own account, and a turn
/// would keep others out.
std::optional<Milliseconds> WorkflowLeader::retryBelowCap(
    const AdmissionInput &input, const protocol::WorkflowSpec &spec,
    const std::string &account, std::uint32_t priority) const {
  const Milliseconds wait = Waiting.waitOf(account, priority, spec);
  const Milliseconds excess = wait - waitLimit(Options.Admission, input);
  if (wait == Milliseconds(0) || excess <= Milliseconds(0)) {
    return std::nullopt;
  }
  return retryDelay(Options.Admission, excess, input.Salt);
}

} // namespace masticwinch::workflow
