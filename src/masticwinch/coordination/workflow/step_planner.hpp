#pragma once

#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// A runner that may get tasks of a step, with its free resources.
struct PlanCandidate {
  const RunnerEntry *Runner = nullptr;
  ResourceAmounts Free;
  /// Tasks of the same step and occurrence that the runner already has.
  std::uint32_t TasksOfStep = 0;
};

/// A task and the runner it is placed on.
struct PlannedRun {
  std::uint32_t Index = 0;
  const RunnerEntry *Runner = nullptr;
};

/// Places tasks of a step on runners, fullest runner first (best fit), which
/// leaves runners with large free capacity for wide gangs of large tasks. Meant
/// for small lookups and wide gangs that share one fleet at 80 % utilization. A
/// gang is placed as a whole or not at all; of other steps, as many tasks as
/// fit.
///
/// If `slotProcessors` is given, in thousandths of a core, tasks that are not
/// part of a gang first take the free processors of each runner that are left
/// over when it is divided into slots of this size. Gangs whose tasks need one
/// slot each otherwise find a quarter of a full fleet free in pieces that are
/// all too small.
std::vector<PlannedRun> planStep(const protocol::StepSpec &step,
                                 const std::vector<std::uint32_t> &tasks,
                                 std::vector<PlanCandidate> candidates,
                                 std::int64_t slotProcessors = 0);

/// Places as many tasks as fit on the candidates, one candidate after the
/// other.
std::vector<PlannedRun> placeInOrder(const protocol::StepSpec &step,
                                     const std::vector<std::uint32_t> &tasks,
                                     std::vector<PlanCandidate> candidates);

} // namespace masticwinch::workflow
