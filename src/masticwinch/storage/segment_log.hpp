#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"
#include "masticwinch/storage/file.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace masticwinch::storage {

/// Result of scanning the segments of a folder.
struct SegmentScan {
  std::vector<protocol::LogEntry> Entries;
  std::uint64_t BaseIndex = 0;
  std::uint64_t BaseTerm = 0;
  bool Damaged = false;
};

/// The stored log: a sequence of append-only segment files. Errors of all
/// functions: `StorageError`.
class SegmentLog {
public:
  SegmentLog(std::string folder, std::uint64_t segmentBytes);

  /// Reads all segments without changing anything on disk.
  Result<SegmentScan> scan();

  /// Removes what `scan` did not accept and prepares the log for appending.
  Result<void> truncateInvalid();

  /// Appends entries and syncs them.
  Result<void> append(const std::vector<protocol::LogEntry> &entries,
                      std::uint64_t batch);

  /// Empties the log; the next entry follows `baseIndex`.
  Result<void> reset(std::uint64_t baseIndex, std::uint64_t baseTerm);

  /// Removes segments that contain only entries at or below an index.
  Result<void> discardThrough(std::uint64_t index);

  /// Number of the last sync found by `scan`, or written since.
  std::uint64_t lastBatch() const { return LastBatch; }

private:
  struct Segment {
    std::string Name;
    std::uint64_t Sequence = 0;
    std::uint64_t BaseIndex = 0;
    std::uint64_t ValidBytes = 0;
  };

  std::string pathOf(const Segment &segment) const;
  std::vector<Segment> listSegments() const;
  Result<bool> scanSegment(Segment &segment, bool last, SegmentScan &found);
  Result<void> startSegment();
  Result<void> removeSegment(const Segment &segment);

  std::string Folder;
  std::uint64_t SegmentBytes;
  std::deque<Segment> Segments;
  /// Segments after a damaged one, and unusable segments.
  std::vector<Segment> Rejected;
  File ActiveSegment;
  std::uint64_t LastIndex = 0;
  std::uint64_t LastTerm = 0;
  std::uint64_t LastBatch = 0;
  std::uint64_t NextSequence = 1;
};

} // namespace masticwinch::storage
