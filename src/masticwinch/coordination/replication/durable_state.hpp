#pragma once

#include "masticwinch/coordination/replication/membership.hpp"
#include "masticwinch/protocol/replication.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::replication {

/// Term, vote and repair state of a replica. Synced before any message that
/// depends on them is sent.
struct HardState {
  std::uint64_t Term = 0;
  std::optional<ReplicaId> Vote;
  /// Set when synced entries were lost. The replica neither votes nor leads
  /// until its log again covers everything that it may have acknowledged.
  bool Repairing = false;

  bool operator==(const HardState &) const = default;
};

/// The applied state up to and including one log index.
struct Snapshot {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  /// Membership in force at `Index`.
  Membership Members;
  /// Serialized application state; opaque to the replica.
  std::string Data;
  /// Checksum of `Data`.
  std::uint64_t Checksum = 0;
};

/// Returns the checksum of a snapshot's data or of one chunk of it.
std::uint64_t snapshotChecksum(const std::string &data);

/// Changes that are made durable by one sync, in this order: snapshot, hard
/// state, entries. An entry at or below the last stored index replaces the
/// entry at that index and all entries after it.
struct WriteBatch {
  /// Identifies the batch in `Replica::persisted`.
  std::uint64_t Sequence = 0;
  std::shared_ptr<const Snapshot> NewSnapshot;
  /// Set if the stored log conflicts with the snapshot and has to be emptied.
  bool ResetLog = false;
  /// Stored entries up to this index may be discarded once the snapshot is
  /// durable.
  std::uint64_t DiscardThrough = 0;
  std::optional<HardState> Hard;
  std::vector<protocol::LogEntry> Entries;
};

/// State that storage recovered at startup.
struct RecoveredState {
  HardState Hard;
  std::shared_ptr<const Snapshot> LastSnapshot;
  /// Contiguous entries, starting at `BaseIndex` + 1.
  std::vector<protocol::LogEntry> Entries;
  /// Index and term of the entry that precedes the first one.
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
};

} // namespace masticwinch::replication
