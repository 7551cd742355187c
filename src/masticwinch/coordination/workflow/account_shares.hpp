#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticwinch::workflow {

/// What the client accounts use of one pool at one moment. The names refer to
/// strings that outlive the object.
struct PoolUse {
  /// Capacity of the pool's runners.
  ResourceAmounts Capacity;
  /// What the runs of each account occupy.
  std::unordered_map<std::string_view, ResourceAmounts> ByAccount;
};

/// The largest of the shares of a pool's processors, memory and accelerators;
/// 1 is the whole pool. A resource that the pool doesn't have does not count.
double dominantShare(const ResourceAmounts &used,
                     const ResourceAmounts &capacity);

/// Accounts compete for a pool only with accounts whose work has the same
/// forecast and priorities; work of another group goes before it anyway.
struct ShareGroup {
  CompletionForecast Forecast = CompletionForecast::OnTime;
  std::uint32_t QueuePriority = 0;
  std::uint32_t AccountPriority = 0;

  auto operator<=>(const ShareGroup &) const = default;
};

/// An account that has work waiting for capacity.
struct AccountDemand {
  ShareGroup Group;
  std::string_view Account;
  /// In thousandths; 0 counts as 1.
  std::uint64_t WeightPermille = 1000;
};

/// Measures by account and pool how much was used lately, and compares it with
/// the account's fair share (dominant resource fairness, with weights). The
/// measure is an average of the dominant share that decays by half in
/// `HalfLife`, so that an account that was quiet may exceed its share for a
/// short while. State machine without I/O; forgets accounts that have neither
/// use nor demand.
class AccountShares {
public:
  static constexpr Milliseconds HalfLife{3000};
  /// Accounts per pool; further ones are never above their share.
  static constexpr std::size_t MaxAccounts = 4096;

  /// Adds the time since the last call, during which the accounts used what
  /// that call stated. The first call for a pool takes its figures for the past
  /// as well: a new leader knows no other.
  void observe(const std::string &pool, const PoolUse &use, SteadyTime now);

  /// Sets the accounts whose work waits for capacity in the pool, and computes
  /// their fair shares. Each account is listed once per group.
  void setDemand(const std::string &pool,
                 const std::vector<AccountDemand> &demand);

  /// How far an account is above its fair share among the accounts of its
  /// group with demand: 0 if it isn't, otherwise growing with the ratio, by one
  /// for each tenth.
  std::uint32_t aboveShare(const std::string &pool, const ShareGroup &group,
                           std::string_view account) const;

  /// Average of the account's dominant share of a pool.
  double usedShare(std::string_view pool, std::string_view account) const;
  /// The account's fair share of the pool in the first group where it has
  /// demand; negative if it has none.
  double fairShare(std::string_view pool, std::string_view account) const;

  /// Forgets the pools that are not in `used`.
  void retain(const std::map<std::string, PoolUse> &used);

  std::size_t accountCount(const std::string &pool) const;

private:
  struct Hash {
    // The name by which the standard library enables lookups by string views.
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };
  struct Usage {
    double Average = 0;
    /// Dominant share since the last call of observe().
    double Current = 0;
  };
  struct Standing {
    std::uint32_t AboveShare = 0;
    double FairShare = 0;
  };
  template <class Value>
  using ByAccount =
      std::unordered_map<std::string, Value, Hash, std::equal_to<>>;
  struct Pool {
    SteadyTime ObservedAt{};
    ByAccount<Usage> Usages;
    std::map<ShareGroup, ByAccount<Standing>> Standings;
  };

  static const Usage *usageOf(const Pool &pool, std::string_view account);

  std::map<std::string, Pool, std::less<>> Pools;
};

} // namespace masticwinch::workflow
