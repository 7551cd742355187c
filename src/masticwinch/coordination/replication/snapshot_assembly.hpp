#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace masticwinch::replication {

/// Puts the chunks of one snapshot together. Chunks may be lost, repeated or
/// reordered; the transfer goes on from the first byte that is missing, also
/// after a change of leader if the new one sends the same snapshot.
class SnapshotAssembly {
public:
  explicit SnapshotAssembly(std::size_t maxBytes) : MaxBytes(maxBytes) {}

  /// What became of a chunk.
  enum class Outcome { Incomplete, Complete, Refused };

  /// Takes in one chunk. Refused: too large, or a checksum that doesn't match.
  Outcome add(const protocol::SnapshotChunk &chunk);

  /// Offset of the next byte that is missing.
  std::uint64_t nextOffset() const { return Data.size(); }

  /// The whole snapshot after `Complete`; the assembly is empty afterwards.
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
