#include "masticwinch/coordination/workflow/account_tally.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace masticwinch::workflow {

namespace {

/// Half of an event's weight is gone after seven calls of age().
constexpr double KeptPerAge = 0.9;

std::string permille(double share) {
  return std::to_string(std::llround(share * 1000));
}

} // namespace

std::uint64_t AccountCounts::refused() const {
  return std::accumulate(Refused.begin(), Refused.end(), std::uint64_t(0));
}

AccountCounts &AccountCounts::operator+=(const AccountCounts &other) {
  Accepted += other.Accepted;
  for (std::size_t i = 0; i < Refused.size(); ++i) {
    Refused[i] += other.Refused[i];
  }
  for (std::size_t i = 0; i < Ended.size(); ++i) {
    Ended[i] += other.Ended[i];
  }
  return *this;
}

AccountTally::Entry *AccountTally::entryOf(const std::string &account) {
  const auto it = Entries.find(account);
  if (it != Entries.end()) {
    return &it->second;
  }
  return Entries.size() < MaxAccounts ? &Entries[account] : nullptr;
}

void AccountTally::accepted(const std::string &account) {
  if (Entry *entry = entryOf(account)) {
    ++entry->Counts.Accepted;
  }
}

void AccountTally::refused(const std::string &account, AccountRefusal reason) {
  if (Entry *entry = entryOf(account)) {
    ++entry->Counts.Refused[static_cast<std::size_t>(reason)];
    entry->RecentUnserved += 1;
  }
}

void AccountTally::ended(const std::string &account, OutcomeKind outcome) {
  if (Entry *entry = entryOf(account)) {
    ++entry->Counts.Ended[static_cast<std::size_t>(outcome)];
    if (outcome == OutcomeKind::OnTime) {
      entry->RecentServed += 1;
    } else if (outcome != OutcomeKind::Cancelled) {
      entry->RecentUnserved += 1;
    }
  }
}

void AccountTally::describe(AccountLoad &load) const {
  const auto it = Entries.find(load.Name);
  if (it == Entries.end()) {
    return;
  }
  const Entry &entry = it->second;
  load.Counts = entry.Counts;
  const double recent = entry.RecentServed + entry.RecentUnserved;
  load.UnservedShare = recent > 0 ? entry.RecentUnserved / recent : 0;
}

void AccountTally::age(
    const std::function<bool(const std::string &)> &isKnown) {
  std::erase_if(Entries, [&](const auto &it) { return !isKnown(it.first); });
  for (auto &[account, entry] : Entries) {
    for (double *it : {&entry.RecentServed, &entry.RecentUnserved}) {
      // Less than a hundredth of an event says nothing.
      *it = *it * KeptPerAge < 0.01 ? 0 : *it * KeptPerAge;
    }
  }
}

void addTo(AccountLoad &sum, const AccountLoad &load) {
  sum.Accounts += load.Accounts;
  sum.WeightPermille += load.WeightPermille;
  sum.Counts += load.Counts;
  sum.WaitingTasks += load.WaitingTasks;
  sum.RunningTasks += load.RunningTasks;
  sum.Running += load.Running;
  sum.UsedShare += load.UsedShare;
  if (load.FairShare >= 0) {
    sum.FairShare = std::max(sum.FairShare, 0.0) + load.FairShare;
  }
  sum.LongestWait = std::max(sum.LongestWait, load.LongestWait);
  sum.UnservedShare = std::max(sum.UnservedShare, load.UnservedShare);
}

std::vector<AccountLoad> selectReported(std::vector<AccountLoad> all,
                                        std::size_t largest,
                                        std::size_t worst) {
  const auto byUse = [](const AccountLoad &a, const AccountLoad &b) {
    return std::tie(b.UsedShare, a.Name) < std::tie(a.UsedShare, b.Name);
  };
  const auto byService = [](const AccountLoad &a, const AccountLoad &b) {
    return std::tie(b.UnservedShare, b.LongestWait, a.Name) <
           std::tie(a.UnservedShare, a.LongestWait, b.Name);
  };
  const std::size_t named = std::min(largest + worst, all.size());
  const auto first =
      all.begin() + std::ptrdiff_t(std::min(largest, all.size()));
  std::partial_sort(all.begin(), first, all.end(), byUse);
  std::partial_sort(first, all.begin() + std::ptrdiff_t(named), all.end(),
                    byService);
  if (named < all.size()) {
    AccountLoad others;
    others.Name = OtherAccounts;
    others.Accounts = 0;
    others.WeightPermille = 0;
    for (std::size_t i = named; i < all.size(); ++i) {
      addTo(others, all[i]);
    }
    all.resize(named);
    all.push_back(std::move(others));
  }
  return all;
}

std::vector<std::pair<std::string, std::string>>
reportFields(const AccountLoad &load) {
  std::vector<std::pair<std::string, std::string>> fields{
      {"account", load.Name},
      {"accounts", std::to_string(load.Accounts)},
      {"priority", std::to_string(load.Priority)},
      {"weight_permille", std::to_string(load.WeightPermille)},
      {"submitted", std::to_string(load.Counts.submitted())},
      {"accepted", std::to_string(load.Counts.Accepted)}};
  for (const auto &it : EnumNames<AccountRefusal>::Table) {
    const auto count = load.Counts.Refused[static_cast<std::size_t>(it.Value)];
    if (count > 0) {
      fields.emplace_back("refused_" + std::string(it.Name),
                          std::to_string(count));
    }
  }
  for (const auto &it : EnumNames<OutcomeKind>::Table) {
    if (it.Value != OutcomeKind::Refused) {
      fields.emplace_back(it.Name, std::to_string(load.Counts.ended(it.Value)));
    }
  }
  fields.insert(
      fields.end(),
      {{"tasks_waiting", std::to_string(load.WaitingTasks)},
       {"tasks_running", std::to_string(load.RunningTasks)},
       {"milli_processors", std::to_string(load.Running.MilliProcessors)},
       {"cap_milli_processors", std::to_string(load.Cap.MilliProcessors)},
       {"used_permille", permille(load.UsedShare)},
       {"fair_permille",
        load.FairShare < 0 ? "none" : permille(load.FairShare)},
       {"longest_since_accepted_ms",
        std::to_string(load.LongestWait.count())}});
  return fields;
}

} // namespace masticwinch::workflow
