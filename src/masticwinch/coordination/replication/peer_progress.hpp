#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/replication/durable_state.hpp"

#include <cstdint>
#include <memory>

namespace masticwinch::replication {

/// Replication progress of a peer, as tracked by the leader.
struct PeerProgress {
  /// Last index known to be synced on the peer and to match the leader's log.
  std::uint64_t Match = 0;
  /// Next index to send.
  std::uint64_t Next = 1;
  /// Last heartbeat round that the peer answered.
  std::uint64_t Round = 0;
  /// Nonzero while the peer repairs a damaged log.
  std::uint64_t RepairNonce = 0;
  /// Snapshot that is being sent to the peer; null if none.
  std::shared_ptr<const Snapshot> PendingSnapshot;
  std::uint64_t SnapshotOffset = 0;
  SteadyTime ChunkSentAt{};
};

} // namespace masticwinch::replication
