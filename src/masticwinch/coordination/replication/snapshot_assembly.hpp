#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace masticwinch::replication {

/// Assembles a snapshot from chunks. Chunks may be lost, duplicated or
/// reordered. The transfer resumes at the first missing byte, even after a
/// change of leader if the new leader sends the same snapshot.
class SnapshotAssembly {
public:
  explicit SnapshotAssembly(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// Result of adding a chunk.
  enum class Outcome { Incomplete, Complete, Refused };

  /// Adds a chunk. `Refused` means that the snapshot is too large or a checksum
  /// does not match.
  Outcome add(const protocol::SnapshotChunk &chunk);

  /// Offset of the first missing byte.
  std::uint64_t nextOffset() const { return Data.size(); }

  /// Returns the snapshot after `Complete` and empties the assembly.
  std::shared_ptr<const Snapshot> take();

private:
  bool continues(const protocol::SnapshotChunk &chunk) const;
  void restart(const protocol::SnapshotChunk &chunk);

  std::size_t MaxBytes;
  Snapshot Header;
  std::uint64_t TotalBytes = 0;
  std::string Data;
};

} // namespace masticwinch::replication
