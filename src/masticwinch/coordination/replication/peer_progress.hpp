#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/replication/durable_state.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace masticwinch::replication {

/// How the leader sends entries to a peer.
enum class ReplicationMode : std::uint8_t {
  /// Entries are sent ahead of the replies, within the limits in flight.
  Streaming,
  /// The peer's position is unknown, or it is silent: messages without entries
  /// look for the position, one at a time.
  Probing,
};

/// Replication progress of a peer, as tracked by the leader.
struct PeerProgress {
  /// A message with entries that the peer has not acknowledged.
  struct SentEntries {
    std::uint64_t LastIndex = 0;
    std::size_t Bytes = 0;
  };

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
  ReplicationMode Mode = ReplicationMode::Streaming;
  /// Set while probing if the next probe need not wait for a heartbeat.
  bool ProbeDue = false;
  std::deque<SentEntries> InFlight;
  /// Sum over `InFlight`.
  std::size_t BytesInFlight = 0;

  /// Records entries that were sent up to an index.
  void noteSent(std::uint64_t lastIndex, std::size_t bytes) {
    InFlight.push_back({lastIndex, bytes});
    BytesInFlight += bytes;
  }

  /// Forgets sent entries that have been acknowledged up to an index.
  void noteAcknowledged(std::uint64_t index) {
    while (!InFlight.empty() && InFlight.front().LastIndex <= index) {
      BytesInFlight -= InFlight.front().Bytes;
      InFlight.pop_front();
    }
  }

  /// Looks for the peer's position again, from an index on.
  void probeFrom(std::uint64_t next) {
    Mode = ReplicationMode::Probing;
    Next = next;
    InFlight.clear();
    BytesInFlight = 0;
  }
};

} // namespace masticwinch::replication
