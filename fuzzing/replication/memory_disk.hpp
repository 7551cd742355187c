#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

namespace masticwinch::fuzzing {

/// In-memory disk that keeps only synced data.
class MemoryDisk {
public:
  explicit MemoryDisk(replication::RecoveredState state = {})
      : State(std::move(state)) {}

  void sync(const replication::WriteBatch &batch);

  /// Damages the entry at a position of the stored log; the log is cut there
  /// and marked for repair.
  void flipBit(std::size_t position);

  /// State found at startup.
  const replication::RecoveredState &recover() const { return State; }

private:
  replication::RecoveredState State;
};

} // namespace masticwinch::fuzzing
