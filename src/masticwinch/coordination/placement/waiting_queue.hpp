#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace masticwinch::placement {

/// Jobs with equivalent requests: if a task of one doesn't fit, no task of the
/// class does.
using RequestClass = std::uint32_t;

/// Urgent work is served before patient work.
enum class Tier : std::uint8_t { Urgent, Patient };
inline constexpr std::size_t TierCount = 2;

/// Position of a job among those of its team: submission time minus a bonus for
/// priority. It never needs to be recomputed, and no job starves.
struct QueuePosition {
  std::int64_t VirtualMs = 0;
  JobIndex Job = NoIndex;
  auto operator<=>(const QueuePosition &) const = default;
};

/// Location of a waiting job in the queue.
struct QueueSlot {
  Tier InTier = Tier::Patient;
  TeamIndex Team = NoIndex;
  RequestClass Class = 0;
  QueuePosition Position;
};

/// Waiting jobs by tier, team and request class.
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
