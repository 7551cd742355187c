#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <vector>

namespace masticwinch::placement {

/// Finds VMs by the amounts that they offer, without visiting those that are
/// too full: a tree over the VMs that keeps the largest offer of each subtree.
class FreeIndex {
public:
  /// Sets what a VM offers; nothing of it may be found if `offer` is negative.
  void set(WorkerIndex vm, const Resources &offer);

  /// The first VM at or after `from` whose offer holds the request.
  WorkerIndex findFrom(WorkerIndex from, const Resources &request) const;

  /// Number of VMs that a search can reach.
  WorkerIndex size() const { return Count; }

private:
  void grow(WorkerIndex vm);
  WorkerIndex firstBelow(std::size_t node, const Resources &request) const;

  WorkerIndex Count = 0;
  std::size_t Leaves = 0;
  std::vector<Resources> Nodes;
};

/// An offer that no request fits in.
inline constexpr Resources NoOffer{-1, -1, -1};

} // namespace masticwinch::placement
