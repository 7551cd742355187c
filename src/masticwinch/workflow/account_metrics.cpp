#include "masticwinch/workflow/account_metrics.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

/// A gauge of what is shown of an account.
struct LoadGauge {
  const char *Name;
  const char *Help;
  double (*Read)(const AccountLoad &);
};

constexpr LoadGauge LoadGauges[] = {
    {"masticwinch_account_tasks_waiting",
     "Tasks of the account that wait to be started; 0 on VMs that don't lead.",
     [](const AccountLoad &it) { return double(it.WaitingTasks); }},
    {"masticwinch_account_tasks_running",
     "Tasks of the account that occupy a runner; 0 on VMs that don't lead.",
     [](const AccountLoad &it) { return double(it.RunningTasks); }},
    {"masticwinch_account_used_share",
     "Average of the largest of the account's shares of a pool's resources.",
     [](const AccountLoad &it) { return it.UsedShare; }},
    {"masticwinch_account_fair_share",
     "The account's part of that pool by weight among the accounts that use "
     "it or wait for it.",
     [](const AccountLoad &it) { return std::max(it.FairShare, 0.0); }},
    {"masticwinch_account_longest_wait_seconds",
     "Age of the account's oldest workflow with a waiting task.",
     [](const AccountLoad &it) {
       return double(it.LongestWait.count()) / 1000;
     }}};

} // namespace

std::string AccountMetrics::labelOf(const std::string &account) {
  if (Labels.contains(account)) {
    return account;
  }
  if (Labels.size() >= MaxAccounts) {
    return OtherAccounts;
  }
  Labels.insert(account);
  return account;
}

void AccountMetrics::add(const AccountOutcome &outcome) {
  const std::string label = labelOf(outcome.Account);
  Counter *&counter = Counters[{label, outcome.Outcome}];
  if (!counter) {
    counter = &Metrics.counter(
        {"masticwinch_account_submissions_total",
         "Submissions by client account and what became of them: accepted, "
         "refused with the reason, and how accepted ones ended.",
         {{"account", label}, {"outcome", outcome.Outcome}}});
  }
  counter->add(1);
}

AccountLoad &AccountMetrics::shownLoad(const std::string &label) {
  const auto [it, isNew] = Shown.try_emplace(label);
  if (isNew) {
    for (const LoadGauge &gauge : LoadGauges) {
      Metrics.observedGauge({gauge.Name, gauge.Help, {{"account", label}}},
                            [this, read = gauge.Read, shown = &it->second] {
                              return Leads() ? read(*shown) : 0.0;
                            });
    }
  }
  return it->second;
}

void AccountMetrics::set(const std::vector<AccountLoad> &loads) {
  for (auto &[label, shown] : Shown) {
    shown = {};
  }
  for (const AccountLoad &it : loads) {
    addTo(shownLoad(labelOf(it.Name)), it);
  }
}

} // namespace masticwinch::workflow
