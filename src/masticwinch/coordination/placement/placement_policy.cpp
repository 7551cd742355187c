#include "masticwinch/coordination/placement/placement_policy.hpp"

#include <algorithm>

namespace masticwinch::placement {

namespace {

constexpr std::int64_t Million = 1'000'000;

/// Remaining share of one resource after placement, in millionths of the
/// capacity.
std::int64_t shareLeft(std::int64_t free, std::int64_t request,
                       std::int64_t capacity) {
  return capacity > 0 ? (free - request) * Million / capacity : 0;
}

std::int64_t emptiness(const Candidate &it) {
  return shareLeft(it.Free.MilliProcessors, it.Request.MilliProcessors,
                   it.Capacity.MilliProcessors) +
         shareLeft(it.Free.MemoryMib, it.Request.MemoryMib,
                   it.Capacity.MemoryMib);
}

/// Difference between the remaining shares of processors and of memory. An
/// unbalanced remainder fits few later tasks.
std::int64_t imbalance(const Candidate &it) {
  const std::int64_t processors =
      shareLeft(it.Free.MilliProcessors, it.Request.MilliProcessors,
                it.Capacity.MilliProcessors);
  const std::int64_t memory =
      shareLeft(it.Free.MemoryMib, it.Request.MemoryMib, it.Capacity.MemoryMib);
  return std::max(processors - memory, memory - processors);
}

} // namespace

std::int64_t PackPolicy::score(const Candidate &it) const {
  const bool wastesAccelerators =
      it.Request.Accelerators == 0 && it.Free.Accelerators > 0;
  return emptiness(it) + imbalance(it) +
         (wastesAccelerators ? 10 * Million : 0);
}

std::int64_t SpreadPolicy::score(const Candidate &it) const {
  return std::int64_t{it.SameRack} * 100 * Million +
         std::int64_t{it.SameDataCenter} * 10 * Million - emptiness(it);
}

} // namespace masticwinch::placement
