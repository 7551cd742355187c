#include <fmt/format.h>

#include "fuzzing/workflow/workflow_simulator.hpp"
#include <algorithm>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

/// The first account has no cap; a session whose submissions are all of it is
/// decided as in a cell without accounts.
constexpr const char *Accounts[] = {"open", "north", "south", "east"};
constexpr std::uint8_t AccountCount = 4;
constexpr int NorthPosition = 1;
constexpr int SouthPosition = 2;

protocol::ClientAccount accountOf(const std::string &name) {
  protocol::ClientAccount account;
  account.set_name(name);
  account.add_keys("key-" + name);
  account.set_weight_permille(1'000'000);
  if (name == "north") {
    account.mutable_cap()->set_milli_processors(16'000);
  } else if (name == "south") {
    account.mutable_cap()->set_memory_mb(2048);
  } else if (name == "east") {
    account.mutable_cap()->set_milli_processors(9000);
    account.mutable_cap()->set_memory_mb(2560);
  }
  return account;
}

} // namespace

void WorkflowSimulator::addAccounts(protocol::CellConfig &config) {
  config.set_accounts_declared(true);
  for (const char *name : Accounts) {
    *config.add_accounts() = accountOf(name);
  }
}

/// The key with which a workflow is submitted for the first time.
std::string WorkflowSimulator::keyFor(const std::string &id,
                                      std::uint8_t choice) {
  const char *name = Accounts[(choice / 2 + choice / 32) % AccountCount];
  return Keys.try_emplace(id, fmt::format("key-{}", name)).first->second;
}

/// Changes the caps of two accounts, or removes or restores the last one.
void WorkflowSimulator::changeAccounts(protocol::CellConfig &config,
                                       std::uint8_t choice) {
  const std::uint8_t amount = choice / 4;
  switch (choice % 4) {
  case 1:
    config.mutable_accounts(NorthPosition)
        ->mutable_cap()
        ->set_milli_processors(4000 * (amount % 6U));
    break;
  case 2:
    config.mutable_accounts(SouthPosition)
        ->mutable_cap()
        ->set_memory_mb(512 * (amount % 8U));
    break;
  case 3:
    if (config.accounts_size() < AccountCount) {
      *config.add_accounts() = accountOf(Accounts[AccountCount - 1]);
    } else {
      config.mutable_accounts()->RemoveLast();
    }
    break;
  default:
    break;
  }
}

ResourceAmounts WorkflowSimulator::capOf(const std::string &account) const {
  const protocol::ClientAccount *found = State.findAccount(account);
  return found ? amountsOf(found->cap()) : ResourceAmounts();
}

std::string WorkflowSimulator::accountOfRun(const RunKey &run) const {
  const Workflow *workflow = State.find(run.Task.Step.Workflow);
  return workflow ? workflow->Account : std::string();
}

/// Notes the caps in force when the leader decides on assignments.
void WorkflowSimulator::noteAssigned(const protocol::WorkflowRecord &record) {
  for (const protocol::WorkflowChange &it : record.changes()) {
    if (it.has_assign()) {
      const RunKey run{taskKeyOf(it.assign().task()), it.assign().run()};
      Assigned[run] = {++Assignments, capOf(accountOfRun(run))};
    }
  }
}

/// Checks, when a runner starts a run, what the account then has on all runners
/// that are up, in each resource: no more than the cap that was in force when
/// the latest-assigned of these runs was assigned, of those that need the
/// resource. That is at most the highest cap in force since the started run was
/// assigned, and nothing is tolerated beyond it.
void WorkflowSimulator::checkCap(const std::string &account) const {
  if (account.empty()) {
    return;
  }
  const auto check = [&](std::int64_t ResourceAmounts::*resource,
                         const char *name) {
    std::int64_t used = 0;
    Assignment latest;
    for (const auto &[id, runner] : Runners) {
      for (const auto &[run, it] : runner.Runs) {
        if (it.Account != account || it.Needs.*resource == 0) {
          continue;
        }
        used += it.Needs.*resource;
        const auto found = Assigned.find(run);
        if (found != Assigned.end() && found->second.Number > latest.Number) {
          latest = found->second;
        }
      }
    }
    if (latest.Cap.*resource > 0 && used > latest.Cap.*resource) {
      throw std::logic_error(
          fmt::format("the account {} uses {} of {}, its cap is {}", account,
                      used, name, latest.Cap.*resource));
    }
  };
  check(&ResourceAmounts::MilliProcessors, "processors");
  check(&ResourceAmounts::MemoryMb, "memory");
  check(&ResourceAmounts::Accelerators, "accelerators");
}

/// Whether tasks of a step fit below the account's cap beside its tasks that
/// last.
bool WorkflowSimulator::fitsBelowCap(const StepKey &key,
                                     const protocol::StepSpec &spec,
                                     std::size_t tasks) const {
  const std::string account = accountOfRun({{key, 0}, 0});
  const protocol::ClientAccount *found = State.findAccount(account);
  if (!found) {
    return true;
  }
  ResourceAmounts used;
  for (const auto &[id, runner] : Runners) {
    for (const auto &[run, it] : runner.Runs) {
      if (it.Account == account) {
        used += it.Needs;
      }
    }
  }
  return startableBelowCap(found->cap(), used, spec, tasks) > 0;
}

} // namespace masticwinch::fuzzing
