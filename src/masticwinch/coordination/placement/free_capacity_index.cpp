#include "masticwinch/coordination/placement/free_capacity_index.hpp"

#include <algorithm>

namespace masticwinch::placement {

void FreeCapacityIndex::set(WorkerIndex vm, const Resources &available) {
  grow(vm);
  std::size_t node = Leaves + vm;
  Nodes[node] = available;
  while (node > 1) {
    node /= 2;
    const Resources best = maxOf(Nodes[2 * node], Nodes[2 * node + 1]);
    if (best == Nodes[node]) {
      return;
    }
    Nodes[node] = best;
  }
}

void FreeCapacityIndex::grow(WorkerIndex vm) {
  Count = std::max(Count, vm + 1);
  if (vm < Leaves) {
    return;
  }
  std::size_t leaves = std::max<std::size_t>(Leaves, 1);
  while (leaves <= vm) {
    leaves *= 2;
  }
  std::vector<Resources> nodes(2 * leaves, NoCapacity);
  std::copy_n(Nodes.begin() + static_cast<std::ptrdiff_t>(Leaves), Leaves,
              nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
  for (std::size_t node = leaves - 1; node > 0; --node) {
    nodes[node] = maxOf(nodes[2 * node], nodes[2 * node + 1]);
  }
  Leaves = leaves;
  Nodes = std::move(nodes);
}

WorkerIndex FreeCapacityIndex::findFrom(WorkerIndex from,
                                        const Resources &request) const {
  if (from >= Count) {
    return NoIndex;
  }
  std::size_t node = Leaves + from;
  if (request.fitsIn(Nodes[node])) {
    return from;
  }
  while (node > 1) {
    const bool left = node % 2 == 0;
    if (left && request.fitsIn(Nodes[node + 1])) {
      const WorkerIndex found = firstInSubtree(node + 1, request);
      if (found != NoIndex) {
        return found;
      }
    }
    node /= 2;
  }
  return NoIndex;
}

WorkerIndex FreeCapacityIndex::firstInSubtree(std::size_t node,
                                              const Resources &request) const {
  if (!request.fitsIn(Nodes[node])) {
    return NoIndex;
  }
  if (node >= Leaves) {
    return static_cast<WorkerIndex>(node - Leaves);
  }
  const WorkerIndex left = firstInSubtree(2 * node, request);
  return left != NoIndex ? left : firstInSubtree(2 * node + 1, request);
}

} // namespace masticwinch::placement
