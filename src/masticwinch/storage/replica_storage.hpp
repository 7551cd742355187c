#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"
#include "masticwinch/storage/segment_log.hpp"

#include <random>
#include <string>

namespace masticwinch::storage {

struct StorageOptions {
  /// The one folder that holds all durable state of the replica.
  std::string Folder;
  /// Name of the cell; a folder of another one is refused.
  std::string Cluster;
  /// Size at which the log goes on in a new file.
  std::uint64_t SegmentBytes = 4U * 1024 * 1024;
  /// Whether the folder may belong to another user or be writable by others, as
  /// where whoever starts the process makes it; otherwise it is refused.
  bool SharedFolder = false;
  /// Whether a folder without a usable identity is emptied into its subfolder
  /// `set-aside`, so that the replica joins anew; otherwise it is refused.
  bool SetDamagedAside = false;
};

/// Durable state of one replica in one data folder. Errors of all functions:
/// `StorageError`. After `SyncFailed` the process must end.
class ReplicaStorage {
public:
  /// Opens the folder, or makes it with an identity drawn from the engine.
  static Result<ReplicaStorage> open(StorageOptions options,
                                     std::mt19937_64 &engine);

  replication::ReplicaId id() const { return Id; }

  /// True if the folder was made just now, or made and never used.
  bool isEmpty() const { return Empty; }

  /// True if the folder is another user's or writable by others.
  bool isShared() const { return Shared; }

  /// Why the folder's content was set aside when it was opened; empty if it was
  /// not.
  const std::string &setAsideReason() const { return AsideReason; }

  /// True if content of the folder was ever set aside. Such a replica must not
  /// found a cell: it may have been a member of one.
  bool hasSetAside() const;

  /// What the folder held when it was opened; to be asked once.
  replication::RecoveredState takeRecovered() { return std::move(Recovered); }

  /// Makes a batch durable. After a repeatable error what was durable before is
  /// intact and the same batch can be written again.
  Result<void> write(const replication::WriteBatch &batch);

private:
  ReplicaStorage(StorageOptions options);

  Result<void> prepareFolder();
  Result<void> loadIdentity(std::mt19937_64 &engine);
  Result<void> setAside(const StorageError &reason);
  Result<void> checkEmpty() const;
  Result<void> readMetadata();
  Result<void> createIdentity(std::mt19937_64 &engine);
  Result<void> recover();
  Result<void> recoverSnapshot();
  Result<void> writeMetadata();
  Result<void> writeSnapshot(const replication::Snapshot &snapshot);
  std::string pathOf(const std::string &name) const;

  StorageOptions Options;
  File Lock;
  replication::ReplicaId Id;
  replication::HardState Hard;
  SegmentLog Log;
  bool Empty = false;
  bool Shared = false;
  std::string AsideReason;
  std::uint64_t NextBatch = 1;
  replication::RecoveredState Recovered;
};

} // namespace masticwinch::storage
