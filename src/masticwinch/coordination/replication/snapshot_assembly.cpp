#include "masticwinch/coordination/replication/snapshot_assembly.hpp"

namespace masticwinch::replication {

bool SnapshotAssembly::continues(const protocol::SnapshotChunk &chunk) const {
  return Header.Index == chunk.index() && Header.Term == chunk.term() &&
         Header.Checksum == chunk.checksum() &&
         TotalBytes == chunk.total_bytes();
}

void SnapshotAssembly::restart(const protocol::SnapshotChunk &chunk) {
  Header.Index = chunk.index();
  Header.Term = chunk.term();
  Header.Checksum = chunk.checksum();
  TotalBytes = chunk.total_bytes();
  Data.clear();
}

SnapshotAssembly::Outcome
SnapshotAssembly::add(const protocol::SnapshotChunk &chunk) {
  if (chunk.total_bytes() > MaxBytes || chunk.index() == 0 ||
      chunk.data().size() > chunk.total_bytes() ||
      chunk.data_checksum() != snapshotChecksum(chunk.data())) {
    return Outcome::Refused;
  }
  if (!continues(chunk)) {
    restart(chunk);
  }
  if (chunk.offset() == Data.size() &&
      Data.size() + chunk.data().size() <= TotalBytes) {
    Data += chunk.data();
    Header.Members = Membership::fromMessage(chunk.membership());
  }
  if (Data.size() < TotalBytes || chunk.offset() > TotalBytes) {
    return Outcome::Incomplete;
  }
  if (snapshotChecksum(Data) != Header.Checksum) {
    Data.clear();
    return Outcome::Refused;
  }
  return Outcome::Complete;
}

std::shared_ptr<const Snapshot> SnapshotAssembly::take() {
  auto snapshot = std::make_shared<Snapshot>(std::move(Header));
  snapshot->Data = std::move(Data);
  Header = {};
  TotalBytes = 0;
  Data.clear();
  return snapshot;
}

} // namespace masticwinch::replication
