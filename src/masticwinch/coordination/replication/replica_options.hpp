#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace masticwinch::replication {

/// Timing and limits of a replica; equal on all replicas of a cell.
struct ReplicaOptions {
  /// Time between a leader's heartbeats.
  Milliseconds HeartbeatInterval{300};
  /// Shortest time without a leader after which a replica asks for votes. No
  /// replica grants a vote earlier than this after it heard from a leader.
  Milliseconds ElectionTimeoutMin{900};
  /// Longest randomised election timeout.
  Milliseconds ElectionTimeoutMax{1400};
  /// Largest difference in the rate of two replicas' clocks, in thousandths; a
  /// leader's lease is shorter by this share.
  std::int64_t ClockDriftPermille = 50;
  /// Largest command.
  std::size_t MaxEntryBytes = 1024 * 1024;
  /// Entries of one message stop at this size.
  std::size_t MaxMessageBytes = 256 * 1024;
  /// Entries sent to one replica and not yet acknowledged.
  std::uint64_t MaxEntriesInFlight = 4096;
  /// Entries proposed and not yet committed; more are refused.
  std::uint64_t MaxUncommittedEntries = 16384;
  /// Size of one snapshot chunk.
  std::size_t SnapshotChunkBytes = 64 * 1024;
  /// Largest snapshot that is taken from another replica.
  std::size_t MaxSnapshotBytes = 128U * 1024 * 1024;
  /// Entries kept behind a snapshot for replicas that lag.
  std::uint64_t RetainedEntries = 1000;
};

} // namespace masticwinch::replication
