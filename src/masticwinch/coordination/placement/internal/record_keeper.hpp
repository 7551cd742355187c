#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

namespace masticwinch::placement::internal {

/// The next batch of records; empty while an earlier one is under way.
RecordBatch takeRecords(PlacerState &state);

/// Goes on with what waited for the batch: starts of not repeatable tasks, and
/// forgetting of ended attempts by their workers.
void recordsDurable(PlacerState &state, std::uint64_t batch);

/// Puts the records of the batch back, to be proposed again.
void recordsUncertain(PlacerState &state, std::uint64_t batch);

} // namespace masticwinch::placement::internal
