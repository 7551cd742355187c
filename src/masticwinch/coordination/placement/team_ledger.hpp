#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwinch::placement {

/// Quota of a team and its weight in fair sharing.
struct TeamTerms {
  /// No limit if empty.
  std::optional<Resources> Quota;
  std::uint32_t Weight = 1;
};

/// Resource usage of every team, for quotas and dominant resource fairness.
class TeamLedger {
public:
  /// Adds a team or changes its terms.
  TeamIndex set(std::string_view name, const TeamTerms &terms);

  /// Index of the team, which is added without a quota if it is new.
  TeamIndex indexOf(std::string_view name);

  /// Whether the amount fits in the unused part of the team's quota.
  bool hasQuotaFor(TeamIndex team, const Resources &amount) const;

  /// Whether the amount fits in the whole quota, regardless of current usage.
  bool fitsInQuota(TeamIndex team, const Resources &amount) const;

  void charge(TeamIndex team, const Resources &amount);
  void refund(TeamIndex team, const Resources &amount);

  /// Dominant share of the total in millionths, divided by the team's weight.
  std::int64_t weightedShare(TeamIndex team, const Resources &total) const;

  const Resources &used(TeamIndex team) const { return Teams[team].Used; }
  const std::string &name(TeamIndex team) const { return Teams[team].Name; }
  std::size_t size() const { return Teams.size(); }

private:
  struct Team {
    std::string Name;
    TeamTerms Terms;
    Resources Used;
  };
  std::vector<Team> Teams;
  std::unordered_map<std::string, TeamIndex> ByName;
};

} // namespace masticwinch::placement
