#pragma once

#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <vector>

namespace masticwinch::placement {

/// Finds VMs with enough available capacity without visiting those that are too
/// full. A segment tree over the VMs in which each node holds the per-resource
/// maximum of its subtree.
class FreeCapacityIndex {
public:
  /// Sets the available capacity of a VM. Negative amounts exclude the VM from
  /// all searches.
  void set(WorkerIndex vm, const Resources &available);

  /// The first VM at or after `from` in whose available capacity the request
  /// fits; `NoIndex` if there is none.
  WorkerIndex findFrom(WorkerIndex from, const Resources &request) const;

  /// Number of VMs in the index.
  WorkerIndex size() const { return Count; }

private:
  void grow(WorkerIndex vm);
  WorkerIndex firstInSubtree(std::size_t node, const Resources &request) const;

  WorkerIndex Count = 0;
  std::size_t Leaves = 0;
  std::vector<Resources> Nodes;
};

/// Available capacity in which no request fits.
inline constexpr Resources NoCapacity{-1, -1, -1};

} // namespace masticwinch::placement
