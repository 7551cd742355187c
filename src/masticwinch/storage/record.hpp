#pragma once

#include "masticwinch/protocol/replication.pb.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch::storage {

/// Header of a stored record. It is written before and again after the payload,
/// so that a single fault cannot hide that the record was written in full.
struct RecordFrame {
  std::uint64_t Index = 0;
  std::uint64_t Term = 0;
  /// Number of the sync that made the record durable.
  std::uint64_t Batch = 0;
  std::uint64_t PayloadBytes = 0;
  std::uint64_t PayloadChecksum = 0;
};

/// Size of an encoded frame in bytes.
inline constexpr std::size_t FrameBytes = 56;

std::string encodeFrame(const RecordFrame &frame);

/// Decodes the frame at an offset; returns nothing if its checksum does not
/// match.
std::optional<RecordFrame> decodeFrame(std::string_view bytes,
                                       std::size_t offset);

std::uint64_t payloadChecksum(std::string_view payload);

/// Encodes a record: frame, payload, frame.
std::string encodeRecord(const protocol::LogEntry &entry, std::uint64_t batch);

/// Result of scanning a sequence of records.
struct RecordScan {
  std::vector<protocol::LogEntry> Entries;
  /// Number of bytes up to the end of the last valid record.
  std::size_t ValidBytes = 0;
  std::uint64_t LastBatch = 0;
  /// True if synced records cannot be read. Otherwise the bytes after
  /// `ValidBytes` were never completely synced.
  bool Damaged = false;
};

/// Reads records up to the first invalid one, and distinguishes a torn tail
/// from damage. `batch` is the number of the last sync before these records.
RecordScan scanRecords(std::string_view bytes, std::uint64_t batch);

} // namespace masticwinch::storage
