#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/replication/durable_state.hpp"

#include <cstdint>
#include <memory>

namespace masticwinch::replication {

/// How far another replica is, as its leader knows.
struct PeerProgress {
  /// Last index known to be synced there and equal to the leader's log.
  std::uint64_t Match = 0;
  /// Next index to send.
  std::uint64_t Next = 1;
  /// Last heartbeat round that it answered.
  std::uint64_t Round = 0;
  /// Set while it repairs a damaged log.
  std::uint64_t RepairNonce = 0;
  /// Snapshot on its way there; null if none.
  std::shared_ptr<const Snapshot> PendingSnapshot;
  std::uint64_t SnapshotOffset = 0;
  SteadyTime ChunkSentAt{};
};

} // namespace masticwinch::replication
