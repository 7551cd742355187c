#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <optional>
#include <vector>

namespace masticwinch::workflow {

/// Number of tasks with these needs that fit into the resources; 1 for a task
/// that needs none.
std::size_t countFitting(ResourceAmounts free, const ResourceAmounts &needs);

/// Number of tasks with these needs that are expected to fit on the runner
/// after `horizon`, beside the runs that won't have ended by then.
std::size_t expectedPlaces(const RunnerEntry &runner,
                           const ResourceAmounts &needs, SteadyTime now,
                           Milliseconds horizon);

/// Runners on which a waiting gang is expected to fit, and the time until
/// enough of their runs are expected to have ended.
struct GangForecast {
  std::vector<const RunnerEntry *> Runners;
  Milliseconds Horizon{0};
};

/// Finds the earliest horizon at which a gang of `count` tasks is expected to
/// fit on the runners, and the fewest runners for it. Returns nothing if the
/// gang does not fit within the longest horizon. A runner takes at most
/// `maxPerRunner` of the tasks, any number if that is 0.
std::optional<GangForecast>
forecastGangRoom(const ResourceAmounts &needs, std::size_t count,
                 const std::vector<const RunnerEntry *> &runners,
                 SteadyTime now, std::uint32_t maxPerRunner = 0);

} // namespace masticwinch::workflow
