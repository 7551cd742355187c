#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace masticwinch::workflow {

namespace {

/// Whether an account has waiting work in a group, and how it ranks there.
struct AccountStanding {
  ShareGroup Group = {};
  std::uint32_t AboveShare = 0;
};

/// The groups of one account's waiting work in a pool. Few, so that a search
/// from the front is faster than an index.
struct AccountStandings {
  std::uint64_t WeightPermille = 1000;
  std::uint32_t Priority = 0;
  std::vector<AccountStanding> Groups;

  /// Position of the group, which is added if it is new.
  std::size_t positionOf(const ShareGroup &group) {
    const auto it = std::find_if(
        Groups.begin(), Groups.end(),
        [&](const AccountStanding &known) { return known.Group == group; });
    if (it != Groups.end()) {
      return std::size_t(it - Groups.begin());
    }
    Groups.push_back({group});
    return Groups.size() - 1;
  }
};

/// A step to rank, its account, and the position of its group there.
struct Competitor {
  StepRank *Rank;
  const AccountStandings *Account;
  std::size_t Position;
};

/// By account; the names refer to the replicated state.
using PoolDemand = std::unordered_map<std::string_view, AccountStandings>;

} // namespace

/// What the runs of each account occupy, by pool, with the pool's capacity. The
/// names refer to the replicated state.
std::map<std::string, PoolUse> WorkflowLeader::accountUses() const {
  std::map<std::string, PoolUse> uses;
  for (const auto &[id, runner] : Registry.runners()) {
    PoolUse &use = uses[runner.Info.pool()];
    if (!runner.Gone) {
      use.Capacity += amountsOf(runner.Info.capacity());
    }
    const std::string *account = nullptr;
    ResourceAmounts *amounts = nullptr;
    for (const auto &[run, trackedRun] : runner.Runs) {
      if (!account || *account != trackedRun.Account) {
        account = &trackedRun.Account;
        amounts = &use.ByAccount[*account];
      }
      *amounts += trackedRun.Needs;
    }
  }
  return uses;
}

/// Measures what the accounts use and, in pools in which the last pass found no
/// capacity for a step, ranks the steps by their accounts as well. Work without
/// an account counts as that of one account of priority 0 and weight 1.
void WorkflowLeader::rankByShares(std::vector<RankedStep> &ranked,
                                  SteadyTime now) {
  const std::set<std::string> shortPools = std::exchange(ShortPools, {});
  if (!State.accounts().areDeclared() ||
      Options.Ranking == RankingPolicy::FirstComeFirstServed) {
    Shares.retain({});
    return;
  }
  const std::map<std::string, PoolUse> uses = accountUses();
  Shares.retain(uses);
  for (const auto &[pool, use] : uses) {
    Shares.observe(pool, use, now);
  }
  std::map<std::string_view, PoolDemand> demands;
  std::unordered_map<std::string_view, PoolDemand *> demandOfQueue;
  const auto demandOf = [&](const std::string &name) {
    const auto [it, isNew] = demandOfQueue.try_emplace(name, nullptr);
    if (isNew) {
      const protocol::QueueConfig *queue = State.findQueue(name);
      const auto pool =
          queue ? shortPools.find(queue->pool()) : shortPools.end();
      it->second = pool == shortPools.end() ? nullptr : &demands[*pool];
    }
    return it->second;
  };
  std::vector<Competitor> competitors;
  // The ranked steps are in the order of their keys still.
  auto open = OpenSteps.begin();
  for (std::size_t i = 0; i < ranked.size() && !shortPools.empty(); ++i) {
    StepRank &rank = ranked[i].Rank;
    while (&open->first != ranked[i].Key) {
      ++open;
    }
    const Workflow *workflow = open->second.Parent;
    PoolDemand *demand = demandOf(workflow->Spec.queue());
    if (!demand) {
      continue;
    }
    const auto [found, isNew] = demand->try_emplace(workflow->Account);
    AccountStandings &account = found->second;
    if (isNew) {
      if (const auto *it = State.findAccount(workflow->Account)) {
        account.WeightPermille = it->weight_permille();
        account.Priority = it->priority();
      }
    }
    rank.AccountPriority = account.Priority;
    competitors.push_back(
        {&rank, &account,
         account.positionOf({rank.Forecast, rank.Priority, account.Priority})});
  }
  for (const auto &[pool, use] : uses) {
    std::vector<AccountDemand> listed;
    PoolDemand &demand = demands[pool];
    for (const auto &[name, account] : demand) {
      for (const AccountStanding &it : account.Groups) {
        listed.push_back({it.Group, name, account.WeightPermille});
      }
    }
    Shares.setDemand(pool, listed);
    for (auto &[name, account] : demand) {
      for (AccountStanding &it : account.Groups) {
        it.AboveShare = Shares.aboveShare(pool, it.Group, name);
      }
    }
  }
  for (const Competitor &it : competitors) {
    it.Rank->AboveShare = it.Account->Groups[it.Position].AboveShare;
  }
}

void WorkflowLeader::countAccepted(const std::string &account) {
  if (!account.empty()) {
    Accounts.accepted(account);
    Effects.AccountOutcomes.push_back({account, "accepted"});
  }
}

void WorkflowLeader::countRefused(const std::string &account,
                                  AccountRefusal reason) {
  if (!account.empty()) {
    Accounts.refused(account, reason);
    Effects.AccountOutcomes.push_back(
        {account, "refused_" + std::string(nameOf(reason))});
  }
}

void WorkflowLeader::countEnded(const Workflow &workflow, OutcomeKind outcome) {
  if (!workflow.Account.empty()) {
    Accounts.ended(workflow.Account, outcome);
    Effects.AccountOutcomes.push_back(
        {workflow.Account, std::string(nameOf(outcome))});
  }
}

/// Sets what the accounts used of the pool where that is most, and their part
/// of it by weight among the accounts that use it or wait for capacity in it.
void WorkflowLeader::setShares(std::vector<AccountLoad> &loads,
                               const std::set<std::string_view> &pools) const {
  for (const std::string_view pool : pools) {
    double weights = 0;
    std::vector<std::pair<AccountLoad *, double>> active;
    for (AccountLoad &it : loads) {
      const double used = Shares.usedShare(pool, it.Name);
      if (used > 0 || Shares.fairShare(pool, it.Name) >= 0) {
        weights += double(it.WeightPermille);
        active.emplace_back(&it, used);
      }
    }
    for (const auto &[load, used] : active) {
      if (load->FairShare < 0 || used > load->UsedShare) {
        load->UsedShare = used;
        load->FairShare = double(load->WeightPermille) / weights;
      }
    }
  }
}

std::vector<AccountLoad> WorkflowLeader::accountLoads(SteadyTime now) const {
  std::vector<AccountLoad> loads;
  // Entries keep their addresses, which their runs refer to.
  loads.reserve(AccountTally::MaxAccounts);
  std::unordered_map<std::string_view, std::size_t> positions;
  const auto loadOf = [&](const std::string &name) -> AccountLoad * {
    const auto known = positions.find(name);
    if (known != positions.end()) {
      return &loads[known->second];
    }
    if (loads.size() >= AccountTally::MaxAccounts) {
      return nullptr;
    }
    positions.emplace(name, loads.size());
    AccountLoad &load = loads.emplace_back();
    load.Name = name;
    if (const auto *account = State.findAccount(name)) {
      load.Priority = account->priority();
      load.WeightPermille = account->weight_permille();
      load.Cap = amountsOf(account->cap());
    }
    load.WeightPermille = std::max<std::uint64_t>(load.WeightPermille, 1);
    return &load;
  };
  for (const protocol::ClientAccount &it : State.accounts().all()) {
    loadOf(it.name());
  }
  for (const auto &[key, open] : OpenSteps) {
    const std::size_t waiting =
        open.Startable ? *open.Startable : startableCount(key, open);
    AccountLoad *load = waiting > 0 ? loadOf(open.Parent->Account) : nullptr;
    if (load) {
      load->WaitingTasks += waiting;
      load->LongestWait =
          std::max(load->LongestWait, std::chrono::duration_cast<Milliseconds>(
                                          now - open.Info->Ranking.Accepted));
    }
  }
  std::set<std::string_view> pools;
  for (const auto &[id, runner] : Registry.runners()) {
    pools.insert(runner.Info.pool());
    const std::string *last = nullptr;
    AccountLoad *load = nullptr;
    for (const auto &[run, trackedRun] : runner.Runs) {
      if (!last || *last != run.Task.Step.Workflow) {
        last = &run.Task.Step.Workflow;
        const Workflow *workflow = State.find(*last);
        load = workflow ? loadOf(workflow->Account) : nullptr;
      }
      if (load) {
        ++load->RunningTasks;
        load->Running += trackedRun.Needs;
      }
    }
  }
  setShares(loads, pools);
  for (AccountLoad &it : loads) {
    Accounts.describe(it);
    if (it.Name.empty()) {
      it.Name = NoAccount;
    }
  }
  return loads;
}

/// Reports the accounts, once a second: all as metrics, and the selected ones
/// as lines of the log, some in each second.
void WorkflowLeader::reportAccounts(SteadyTime now) {
  if (!State.accounts().areDeclared()) {
    return;
  }
  Accounts.age([this](const std::string &name) {
    return State.findAccount(name) != nullptr;
  });
  std::vector<AccountLoad> loads = accountLoads(now);
  if (AccountsToLog.empty()) {
    AccountsToLog = selectReported(loads);
    std::reverse(AccountsToLog.begin(), AccountsToLog.end());
  }
  for (std::size_t i = 0;
       i < Options.AccountsPerReport && !AccountsToLog.empty(); ++i) {
    logEvent(WorkflowEventKind::AccountLoad,
             reportFields(AccountsToLog.back()));
    AccountsToLog.pop_back();
  }
  Effects.AccountLoads = std::move(loads);
}

} // namespace masticwinch::workflow
