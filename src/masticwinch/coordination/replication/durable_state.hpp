#pragma once

#include "masticwinch/coordination/replication/membership.hpp"
#include "masticwinch/protocol/replication.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::replication {

/// Term, vote and health of a replica; synced before any message that depends
/// on them.
struct HardState {
  std::uint64_t Term = 0;
  std::optional<ReplicaId> Vote;
  /// Entries that had been synced were lost here. The replica neither votes nor
  /// leads until it holds all that it may ever have acknowledged.
  bool Repairing = false;

  bool operator==(const HardState &) const = default;
};

/// The applied state up to one index of the log.
struct Snapshot {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  /// Membership in force at `Index`.
  Membership Members;
  /// State of the application, opaque here.
  std::string Data;
  /// Checksum of `Data`.
  std::uint64_t Checksum = 0;
};

/// Checksum of a snapshot's data or of one chunk of it.
std::uint64_t snapshotChecksum(const std::string &data);

/// What one sync makes durable, in this order: the snapshot, the hard state,
/// the entries. An entry at or below the last stored index replaces that index
/// and all above.
struct WriteBatch {
  /// Names the batch in `Replica::persisted`.
  std::uint64_t Sequence = 0;
  std::shared_ptr<const Snapshot> NewSnapshot;
  /// The stored log does not agree with the snapshot and must be emptied.
  bool ResetLog = false;
  /// Stored entries up to this index may be dropped once the snapshot is kept.
  std::uint64_t DiscardThrough = 0;
  std::optional<HardState> Hard;
  std::vector<protocol::LogEntry> Entries;
};

/// What storage found at start.
struct RecoveredState {
  HardState Hard;
  std::shared_ptr<const Snapshot> LastSnapshot;
  /// Contiguous entries; the first follows `BaseIndex`.
  std::vector<protocol::LogEntry> Entries;
  /// Index and term before the first entry.
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
};

} // namespace masticwinch::replication
