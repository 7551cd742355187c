#include "masticwinch/coordination/placement/team_ledger.hpp"

#include "masticwinch/coordination/placement/resource_account.hpp"

#include <algorithm>

namespace masticwinch::placement {

TeamIndex TeamLedger::set(std::string_view name, const TeamTerms &terms) {
  const TeamIndex team = indexOf(name);
  Teams[team].Terms = terms;
  return team;
}

TeamIndex TeamLedger::indexOf(std::string_view name) {
  const auto [it, added] = ByName.try_emplace(
      std::string(name), static_cast<TeamIndex>(Teams.size()));
  if (added) {
    Teams.push_back({std::string(name), {}, {}});
  }
  return it->second;
}

bool TeamLedger::hasQuotaFor(TeamIndex team, const Resources &amount) const {
  const Team &it = Teams[team];
  return !it.Terms.Quota || (it.Used + amount).fitsIn(*it.Terms.Quota);
}

bool TeamLedger::fitsInQuota(TeamIndex team, const Resources &amount) const {
  const Team &it = Teams[team];
  return !it.Terms.Quota || amount.fitsIn(*it.Terms.Quota);
}

void TeamLedger::charge(TeamIndex team, const Resources &amount) {
  Teams[team].Used += amount;
}

void TeamLedger::refund(TeamIndex team, const Resources &amount) {
  Teams[team].Used -= amount;
  if (!Teams[team].Used.nonNegative()) {
    throw AccountError("team " + Teams[team].Name +
                       " was refunded more than it used");
  }
}

std::int64_t TeamLedger::weightedShare(TeamIndex team,
                                       const Resources &total) const {
  const Team &it = Teams[team];
  return dominantShare(it.Used, total) /
         std::max<std::int64_t>(1, it.Terms.Weight);
}

} // namespace masticwinch::placement
