#include "masticwinch/coordination/cell/serving_lease.hpp"

#include <algorithm>

namespace masticwinch::cell {

std::uint64_t ServingLease::helloSent(SteadyTime now) {
  ++LastSequence;
  Outstanding[LastSequence] = now;
  if (Outstanding.size() > MaxOutstanding) {
    Outstanding.erase(Outstanding.begin());
  }
  return LastSequence;
}

void ServingLease::granted(std::uint64_t sequence, Milliseconds lease) {
  const auto it = Outstanding.find(sequence);
  if (it == Outstanding.end()) {
    return;
  }
  ValidUntil = std::max(ValidUntil, it->second + lease);
  Outstanding.erase(Outstanding.begin(), std::next(it));
}

} // namespace masticwinch::cell
