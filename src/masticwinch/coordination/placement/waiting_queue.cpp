#include "masticwinch/coordination/placement/waiting_queue.hpp"

namespace masticwinch::placement {

void WaitingQueue::add(const QueueSlot &slot) {
  Teams &teams = Tiers[static_cast<std::size_t>(slot.InTier)];
  if (teams[slot.Team][slot.Class].insert(slot.Position).second) {
    ++Count;
  }
}

void WaitingQueue::remove(const QueueSlot &slot) {
  Teams &teams = Tiers[static_cast<std::size_t>(slot.InTier)];
  const auto team = teams.find(slot.Team);
  if (team == teams.end()) {
    return;
  }
  const auto jobs = team->second.find(slot.Class);
  if (jobs == team->second.end() || jobs->second.erase(slot.Position) == 0) {
    return;
  }
  --Count;
  if (jobs->second.empty()) {
    team->second.erase(jobs);
  }
  if (team->second.empty()) {
    teams.erase(team);
  }
}

} // namespace masticwinch::placement
