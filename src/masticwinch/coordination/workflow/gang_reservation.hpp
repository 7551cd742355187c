#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <optional>
#include <vector>

namespace masticwinch::workflow {

/// Runners that are kept for a waiting gang, and until when: the time by which
/// enough of their work is expected to have ended.
struct GangReservation {
  std::vector<const RunnerEntry *> Runners;
  Milliseconds Horizon{0};
};

/// Finds the earliest time at which a gang of `count` tasks can be expected to
/// fit on the runners, and the fewest runners for it. Answers the load of small
/// tasks that take each gap as it opens, so that a wide gang never finds enough
/// of them at once: tasks that would last beyond the time go elsewhere, shorter
/// ones may fill the gaps. Nothing if the gang would not fit within the longest
/// horizon.
std::optional<GangReservation>
reserveForGang(const ResourceAmounts &needs, std::size_t count,
               const std::vector<const RunnerEntry *> &runners, SteadyTime now);

} // namespace masticwinch::workflow
