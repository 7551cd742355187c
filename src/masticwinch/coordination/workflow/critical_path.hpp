#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <vector>

namespace masticwinch::workflow {

/// For each step, the time from its start to the end of the longest chain of
/// steps that begins with it, by the submitter's estimates and one call for
/// advice a step.
std::vector<Milliseconds>
remainingCriticalPaths(const protocol::WorkflowSpec &spec,
                       const protocol::QueueConfig &queue);

/// The longest chain of a workflow.
Milliseconds longestCriticalPath(const std::vector<Milliseconds> &remaining);

/// Core-milliseconds of all steps.
std::uint64_t estimatedWork(const protocol::WorkflowSpec &spec);

} // namespace masticwinch::workflow
