#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <optional>
#include <string_view>
#include <vector>

namespace masticwinch::placement::internal {

/// Why the job waits, and the counts of its tasks; empty if the job is unknown.
std::optional<Explanation> explainJob(const PlacerState &state,
                                      std::string_view id);

WorkerSummary summarizeWorker(const PlacerState &state, WorkerIndex vm);
std::vector<WorkerSummary> summarizeWorkers(const PlacerState &state);

} // namespace masticwinch::placement::internal
