#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>

namespace masticwinch::replication {

/// Timing and limits of a replica. All replicas of a cell must use the same
/// values.
struct ReplicaOptions {
  /// Interval between a leader's heartbeats.
  Milliseconds HeartbeatInterval{300};
  /// Minimum election timeout. No replica grants a vote sooner than this after
  /// it last heard from a leader.
  Milliseconds ElectionTimeoutMin{900};
  /// Maximum randomized election timeout.
  Milliseconds ElectionTimeoutMax{1400};
  /// Maximum difference between the clock rates of two replicas, in
  /// thousandths. A leader's lease is shortened by this fraction.
  std::int64_t ClockDriftPermille = 50;
  /// Maximum size of a command.
  std::size_t MaxEntryBytes = 1024 * 1024;
  /// Size at which no further entries are added to a message.
  std::size_t MaxMessageBytes = 256 * 1024;
  /// Maximum number of unacknowledged entries per replica.
  std::uint64_t MaxEntriesInFlight = 4096;
  /// Size of unacknowledged entries per replica at which no more are sent.
  std::size_t MaxBytesInFlight = 1024 * 1024;
  /// Heartbeat rounds without an answer after which a replica gets no entries
  /// until it answers.
  std::uint64_t MaxSilentRounds = 3;
  /// Maximum number of uncommitted entries; further proposals are refused.
  std::uint64_t MaxUncommittedEntries = 16384;
  /// Size of uncommitted entries at which further proposals are refused.
  std::size_t MaxUncommittedBytes = 16 * 1024 * 1024;
  /// Size of a snapshot chunk.
  std::size_t SnapshotChunkBytes = 64 * 1024;
  /// Maximum size of a snapshot that is accepted from another replica.
  std::size_t MaxSnapshotBytes = 128U * 1024 * 1024;
  /// Number of entries retained behind a snapshot for replicas that lag.
  std::uint64_t RetainedEntries = 1000;
  /// Maximum size of the entries retained behind a snapshot.
  std::size_t RetainedBytes = 4 * 1024 * 1024;
};

} // namespace masticwinch::replication
