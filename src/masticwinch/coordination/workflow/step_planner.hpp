#pragma once

#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// A runner that may get tasks of a step, with the room left on it.
struct PlanCandidate {
  const RunnerEntry *Runner = nullptr;
  ResourceAmounts Free;
  /// Tasks of the step's occurrence that it has already.
  std::uint32_t TasksOfStep = 0;
};

/// One task put on a runner.
struct PlannedRun {
  std::uint32_t Index = 0;
  const RunnerEntry *Runner = nullptr;
};

/// Puts tasks of a step on runners, fullest runner first, so that wide gangs of
/// large tasks find runners with much room. Answers the load of small lookups
/// and wide gangs that share one fleet at four fifths of its room. A gang is
/// put whole or not at all; of another step, as many tasks as fit.
std::vector<PlannedRun> planStep(const protocol::StepSpec &step,
                                 const std::vector<std::uint32_t> &tasks,
                                 std::vector<PlanCandidate> candidates);

} // namespace masticwinch::workflow
