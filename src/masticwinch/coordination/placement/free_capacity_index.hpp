#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <vector>

namespace masticwinch::placement {

/// Finds VMs by the amounts that they available, without visiting those that
/// are too full: a tree over the VMs that keeps the largest available of each
/// subtree.
class FreeCapacityIndex {
public:
  /// Sets what a VM offers; nothing of it may be found if `available` is
  /// negative.
  void set(WorkerIndex vm, const Resources &available);

  /// The first VM at or after `from` whose available holds the request.
  WorkerIndex findFrom(WorkerIndex from, const Resources &request) const;

  /// Number of VMs that a search can reach.
  WorkerIndex size() const { return Count; }

private:
  void grow(WorkerIndex vm);
  WorkerIndex firstInSubtree(std::size_t node, const Resources &request) const;

  WorkerIndex Count = 0;
  std::size_t Leaves = 0;
  std::vector<Resources> Nodes;
};

/// An available that no request fits in.
inline constexpr Resources NoCapacity{-1, -1, -1};

} // namespace masticwinch::placement
