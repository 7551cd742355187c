#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace masticwinch::placement {

/// Jobs whose tasks are alike to every decision: if one doesn't fit, none does.
using RequestClass = std::uint32_t;

/// Urgent work is served before patient work.
enum class Tier : std::uint8_t { Urgent, Patient };
inline constexpr std::size_t TierCount = 2;

/// Place of a job among those of its team. Submission time less a bonus for
/// priority, so that the order never needs to be recomputed and every job
/// comes first in the end.
struct QueuePosition {
  std::int64_t VirtualMs = 0;
  JobIndex Job = NoIndex;
  auto operator<=>(const QueuePosition &) const = default;
};

/// Where a waiting job belongs.
struct QueueSlot {
  Tier InTier = Tier::Patient;
  TeamIndex Team = NoIndex;
  RequestClass Class = 0;
  QueuePosition Position;
};

/// Waiting jobs by tier, team and class of equal requests.
class WaitingQueue {
public:
  using Jobs = std::set<QueuePosition>;
  using Classes = std::map<RequestClass, Jobs>;
  using Teams = std::map<TeamIndex, Classes>;

  void add(const QueueSlot &slot);

  /// Does nothing if the job is not in the queue.
  void remove(const QueueSlot &slot);

  const Teams &teams(Tier tier) const {
    return Tiers[static_cast<std::size_t>(tier)];
  }
  std::size_t size() const { return Count; }

private:
  Teams Tiers[TierCount];
  std::size_t Count = 0;
};

} // namespace masticwinch::placement
