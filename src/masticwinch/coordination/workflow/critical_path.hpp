#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <vector>

namespace masticwinch::workflow {

/// Returns for each step the length of the remaining critical path: the longest
/// chain of dependent steps that begins with it. Based on the submitter's
/// estimates and one advice call for each step. A step that is wider than its
/// account's cap takes several times its estimate.
std::vector<Milliseconds> remainingCriticalPaths(
    const protocol::WorkflowSpec &spec, const protocol::QueueConfig &queue,
    const protocol::Amounts &cap = protocol::Amounts::default_instance());

/// The critical path of the whole workflow: the longest of the remaining ones.
Milliseconds longestCriticalPath(const std::vector<Milliseconds> &remaining);

/// In which time a workflow with this critical path is to complete: the path's
/// time multiplied by the queue's stretch, plus its latency target. At most
/// `LongestObjective`.
Milliseconds objectiveOf(Milliseconds criticalPath,
                         const protocol::QueueConfig &queue);

/// Short enough that multiples of it for late work fit.
inline constexpr Milliseconds LongestObjective =
    std::chrono::hours(24) * 365 * 1000;

/// Estimated core-milliseconds of one task.
std::uint64_t taskWork(const protocol::StepSpec &step);

/// A workflow with more work than this, in core-milliseconds, counts as if it
/// had this much, so that sums over some thousand of them fit.
inline constexpr std::uint64_t MaxEstimatedWork = std::uint64_t(1) << 50;

/// Estimated core-milliseconds of all steps.
std::uint64_t estimatedWork(const protocol::WorkflowSpec &spec);

} // namespace masticwinch::workflow
