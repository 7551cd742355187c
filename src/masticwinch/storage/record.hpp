#pragma once

#include "masticwinch/protocol/replication.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch::storage {

/// Head of a stored record. It stands before the payload and again after it, so
/// that one fault can't hide that the record was written in full.
struct RecordFrame {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  /// Number of the sync that made the record durable.
  std::uint64_t Batch = 0;
  std::uint64_t PayloadBytes = 0;
  std::uint64_t PayloadChecksum = 0;
};

/// Size of an encoded frame, in bytes.
inline constexpr std::size_t FrameBytes = 56;

std::string encodeFrame(const RecordFrame &frame);

/// Reads a frame at an offset; nothing if its checksum doesn't hold.
std::optional<RecordFrame> decodeFrame(std::string_view bytes,
                                       std::size_t offset);

/// Checksum of a payload.
std::uint64_t payloadChecksum(std::string_view payload);

/// One record: frame, payload, frame.
std::string encodeRecord(const protocol::LogEntry &entry, std::uint64_t batch);

/// What a run of records contains.
struct RecordScan {
  std::vector<protocol::LogEntry> Entries;
  /// Bytes up to the end of the last good record.
  std::size_t ValidBytes = 0;
  std::uint64_t LastBatch = 0;
  /// True if records that were synced can't be read. Otherwise what follows
  /// `ValidBytes` was never synced as a complete.
  bool Damaged = false;
};

/// Reads records up to the first one that is not complete, and tells a torn
/// tail from damage. `batch` is the number of the last sync before these
/// records.
RecordScan scanRecords(std::string_view bytes, std::uint64_t batch);

} // namespace masticwinch::storage
