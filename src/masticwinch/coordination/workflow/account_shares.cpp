#include "masticwinch/coordination/workflow/account_shares.hpp"

#include <algorithm>
#include <cmath>

namespace masticwinch::workflow {

namespace {

/// An average below this share of a pool counts as no use.
constexpr double Negligible = 1e-5;

/// Rounding errors of sums of shares, relative to the fair share.
constexpr double Tolerance = 1e-9;

double weightOf(const AccountDemand &demand) {
  return double(std::max<std::uint64_t>(demand.WeightPermille, 1));
}

/// One for each tenth by which `used` exceeds `fair`. Bounded, so that an
/// account without any fair share has a finite place as well.
std::uint32_t levelAbove(double used, double fair) {
  constexpr double MaxLevel = 1000;
  if (used <= fair * (1 + Tolerance) + Negligible) {
    return 0;
  }
  const double tenths =
      fair > 0 ? std::floor((used / fair - 1) * 10) : MaxLevel;
  return 1 + std::uint32_t(std::min(tenths, MaxLevel));
}

} // namespace

double dominantShare(const ResourceAmounts &used,
                     const ResourceAmounts &capacity) {
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole > 0 ? double(part) / double(whole) : 0.0;
  };
  return std::max({share(used.MilliProcessors, capacity.MilliProcessors),
                   share(used.MemoryMb, capacity.MemoryMb),
                   share(used.Accelerators, capacity.Accelerators), 0.0});
}

void AccountShares::observe(const std::string &name, const PoolUse &use,
                            SteadyTime now) {
  const auto [found, isNew] = Pools.try_emplace(name);
  Pool &pool = found->second;
  const auto passed = std::max(now - pool.ObservedAt, SteadyTime::duration(0));
  const double kept = isNew
                          ? 0
                          : std::exp2(-std::chrono::duration<double>(passed) /
                                      std::chrono::duration<double>(HalfLife));
  for (auto it = pool.Usages.begin(); it != pool.Usages.end();) {
    Usage &usage = it->second;
    usage.Average = usage.Average * kept + usage.Current * (1 - kept);
    const bool unused = usage.Average < Negligible &&
                        !use.ByAccount.contains(std::string_view(it->first));
    usage.Current = 0;
    it = unused ? pool.Usages.erase(it) : std::next(it);
  }
  for (const auto &[account, amounts] : use.ByAccount) {
    auto it = pool.Usages.find(account);
    if (it == pool.Usages.end()) {
      if (pool.Usages.size() >= MaxAccounts) {
        continue;
      }
      it = pool.Usages.emplace(std::string(account), Usage()).first;
    }
    it->second.Current = dominantShare(amounts, use.Capacity);
    if (isNew) {
      it->second.Average = it->second.Current;
    }
  }
  pool.ObservedAt = now;
}

const AccountShares::Usage *AccountShares::usageOf(const Pool &pool,
                                                   std::string_view account) {
  const auto it = pool.Usages.find(account);
  return it == pool.Usages.end() ? nullptr : &it->second;
}

/// The fair share is a part by weight of what the group's accounts use at this
/// moment, not of the whole pool: what other groups hold is not theirs to
/// divide.
void AccountShares::setDemand(const std::string &name,
                              const std::vector<AccountDemand> &demand) {
  const auto found = Pools.find(name);
  if (found == Pools.end()) {
    return;
  }
  Pool &pool = found->second;
  struct Sums {
    double Weight = 0;
    double Current = 0;
    double Average = 0;
  };
  std::map<ShareGroup, Sums> groups;
  for (const AccountDemand &it : demand) {
    Sums &sums = groups[it.Group];
    sums.Weight += weightOf(it);
    if (const Usage *usage = usageOf(pool, it.Account)) {
      sums.Current += usage->Current;
      sums.Average += usage->Average;
    }
  }
  pool.Standings.clear();
  for (const AccountDemand &it : demand) {
    const Sums &sums = groups[it.Group];
    // Between two waves of work the accounts use little for a moment.
    const double divided = std::max(sums.Current, sums.Average);
    const double fair = divided * weightOf(it) / sums.Weight;
    const Usage *usage = usageOf(pool, it.Account);
    ByAccount<Standing> &standings = pool.Standings[it.Group];
    if (standings.size() < MaxAccounts) {
      standings.try_emplace(
          std::string(it.Account),
          Standing{usage ? levelAbove(usage->Average, fair) : 0, fair});
    }
  }
}

std::uint32_t AccountShares::aboveShare(const std::string &pool,
                                        const ShareGroup &group,
                                        std::string_view account) const {
  const auto known = Pools.find(pool);
  if (known == Pools.end()) {
    return 0;
  }
  const auto standings = known->second.Standings.find(group);
  if (standings == known->second.Standings.end()) {
    return 0;
  }
  const auto it = standings->second.find(account);
  return it == standings->second.end() ? 0 : it->second.AboveShare;
}

double AccountShares::usedShare(std::string_view pool,
                                std::string_view account) const {
  const auto known = Pools.find(pool);
  const Usage *usage =
      known == Pools.end() ? nullptr : usageOf(known->second, account);
  return usage ? usage->Average : 0;
}

double AccountShares::fairShare(std::string_view pool,
                                std::string_view account) const {
  const auto known = Pools.find(pool);
  if (known != Pools.end()) {
    for (const auto &[group, standings] : known->second.Standings) {
      const auto it = standings.find(account);
      if (it != standings.end()) {
        return it->second.FairShare;
      }
    }
  }
  return -1;
}

void AccountShares::retain(const std::map<std::string, PoolUse> &used) {
  std::erase_if(Pools,
                [&](const auto &it) { return !used.contains(it.first); });
}

std::size_t AccountShares::accountCount(const std::string &pool) const {
  const auto known = Pools.find(pool);
  return known == Pools.end() ? 0 : known->second.Usages.size();
}

} // namespace masticwinch::workflow
