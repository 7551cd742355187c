#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwinch::placement {

/// What a team may use, and its weight in sharing.
struct TeamTerms {
  /// Empty for no limit.
  std::optional<Resources> Quota;
  std::uint32_t Weight = 1;
};

/// What every team uses, for quotas and dominant-resource fairness.
class TeamLedger {
public:
  /// Adds a team or changes its terms.
  TeamIndex set(std::string_view name, const TeamTerms &terms);

  /// The team of that name, added without a quota if it is new.
  TeamIndex indexOf(std::string_view name);

  /// Whether the team's quota has room for the amount.
  bool hasQuotaFor(TeamIndex team, const Resources &amount) const;

  /// Whether the amount is within the whole quota.
  bool fitsInQuota(TeamIndex team, const Resources &amount) const;

  void charge(TeamIndex team, const Resources &amount);
  void refund(TeamIndex team, const Resources &amount);

  /// Dominant share in millionths of the total, divided by the weight.
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
