#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

namespace masticwinch::fuzzing {

/// A disk in memory that keeps only what was synced.
class MemoryDisk {
public:
  explicit MemoryDisk(replication::RecoveredState state = {})
      : State(std::move(state)) {}

  /// Makes a batch durable.
  void sync(const replication::WriteBatch &batch);

  /// Damages the entry at a position of the stored log.
  void flipBit(std::size_t position);

  /// What a start finds.
  const replication::RecoveredState &recover() const { return State; }

private:
  replication::RecoveredState State;
};

} // namespace masticwinch::fuzzing
