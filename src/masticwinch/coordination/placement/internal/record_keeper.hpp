#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

namespace masticwinch::placement::internal {

/// The next batch of records; empty while an earlier one is in flight.
RecordBatch takeRecords(PlacerState &state);

/// Continues what waited for the batch: starts tasks that are not repeatable,
/// and lets workers forget ended attempts.
void recordsDurable(PlacerState &state, std::uint64_t batch);

/// Requeues the records of the batch, to be proposed again.
void recordsUncertain(PlacerState &state, std::uint64_t batch);

} // namespace masticwinch::placement::internal
