#include "masticwinch/storage/segment_log.hpp"

#include "masticwinch/storage/record.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <iterator>
#include <utility>

namespace masticwinch::storage {

namespace {

constexpr std::string_view Prefix = "log-";

/// Header of a segment: a frame that holds its base index and term, and the
/// segment's number in the batch field.
RecordFrame segmentHeader(std::uint64_t baseIndex, std::uint64_t baseTerm,
                          std::uint64_t sequence) {
  return {baseIndex, baseTerm, sequence, 0, 0};
}

/// Appends an entry, replacing entries at the same or a higher index.
void appendEntry(SegmentScan &found, protocol::LogEntry entry) {
  while (!found.Entries.empty() &&
         found.Entries.back().index() >= entry.index()) {
    found.Entries.pop_back();
  }
  found.Entries.push_back(std::move(entry));
}

} // namespace

SegmentLog::SegmentLog(std::string folder, std::uint64_t segmentBytes)
    : Folder(std::move(folder)), SegmentBytes(segmentBytes) {}

std::string SegmentLog::pathOf(const Segment &segment) const {
  return Folder + "/" + segment.Name;
}

std::vector<SegmentLog::Segment> SegmentLog::listSegments() const {
  std::vector<Segment> segments;
  std::error_code ec;
  for (const auto &it : std::filesystem::directory_iterator(Folder, ec)) {
    Segment segment;
    segment.Name = it.path().filename().string();
    if (!segment.Name.starts_with(Prefix)) {
      continue;
    }
    const char *begin = segment.Name.data() + Prefix.size();
    const char *end = segment.Name.data() + segment.Name.size();
    const auto [last, error] = std::from_chars(begin, end, segment.Sequence);
    if (error == std::errc() && last == end) {
      segments.push_back(std::move(segment));
    }
  }
  std::sort(segments.begin(), segments.end(),
            [](const Segment &a, const Segment &b) {
              return a.Sequence < b.Sequence;
            });
  return segments;
}

Result<SegmentScan> SegmentLog::scan() {
  SegmentScan found;
  std::vector<Segment> listed = listSegments();
  for (std::size_t i = 0; i < listed.size(); ++i) {
    NextSequence = std::max(NextSequence, listed[i].Sequence + 1);
    if (found.Damaged) {
      Rejected.push_back(listed[i]);
      continue;
    }
    BOOST_LEAF_AUTO(usable,
                    scanSegment(listed[i], i + 1 == listed.size(), found));
    (usable ? Segments.push_back(listed[i]) : Rejected.push_back(listed[i]));
  }
  LastIndex =
      found.Entries.empty() ? found.BaseIndex : found.Entries.back().index();
  LastTerm =
      found.Entries.empty() ? found.BaseTerm : found.Entries.back().term();
  return found;
}

/// Reads one segment; returns false if none of it is usable.
Result<bool> SegmentLog::scanSegment(Segment &segment, bool last,
                                     SegmentScan &found) {
  BOOST_LEAF_AUTO(bytes, readFile(pathOf(segment)));
  const auto header = decodeFrame(bytes, 0);
  if (!header || header->Batch != segment.Sequence) {
    found.Damaged = !last || bytes.size() > FrameBytes;
    return false;
  }
  const bool empty = found.Entries.empty();
  const std::uint64_t end =
      empty ? found.BaseIndex : found.Entries.back().index();
  const std::uint64_t endTerm =
      empty ? found.BaseTerm : found.Entries.back().term();
  if (Segments.empty() || header->Index != end || header->Term != endTerm) {
    found.Entries.clear();
    found.BaseIndex = header->Index;
    found.BaseTerm = header->Term;
    std::move(Segments.begin(), Segments.end(), std::back_inserter(Rejected));
    Segments.clear();
  }
  segment.BaseIndex = header->Index;
  RecordScan records =
      scanRecords(std::string_view(bytes).substr(FrameBytes), LastBatch);
  for (protocol::LogEntry &it : records.Entries) {
    appendEntry(found, std::move(it));
  }
  LastBatch = records.LastBatch;
  segment.ValidBytes = FrameBytes + records.ValidBytes;
  found.Damaged =
      records.Damaged || (!last && segment.ValidBytes < bytes.size());
  return true;
}

Result<void> SegmentLog::truncateInvalid() {
  for (const Segment &it : Rejected) {
    BOOST_LEAF_CHECK(removeSegment(it));
  }
  Rejected.clear();
  if (Segments.empty()) {
    return startSegment();
  }
  BOOST_LEAF_ASSIGN(ActiveSegment,
                    File::openForAppend(pathOf(Segments.back())));
  if (ActiveSegment.size() > Segments.back().ValidBytes) {
    BOOST_LEAF_CHECK(ActiveSegment.truncate(Segments.back().ValidBytes));
  }
  // A former process may have ended between writing its last records and
  // syncing them.
  BOOST_LEAF_CHECK(ActiveSegment.sync());
  return syncFolder(Folder);
}

Result<void> SegmentLog::startSegment() {
  Segment segment;
  segment.Sequence = NextSequence;
  segment.Name = fmt::format("{}{:020}", Prefix, segment.Sequence);
  segment.BaseIndex = LastIndex;
  BOOST_LEAF_AUTO(file, File::openForAppend(pathOf(segment)));
  BOOST_LEAF_CHECK(file.truncate(0));
  BOOST_LEAF_CHECK(file.append(
      encodeFrame(segmentHeader(LastIndex, LastTerm, segment.Sequence))));
  BOOST_LEAF_CHECK(file.sync());
  BOOST_LEAF_CHECK(syncFolder(Folder));
  ActiveSegment = std::move(file);
  Segments.push_back(std::move(segment));
  ++NextSequence;
  return {};
}

Result<void> SegmentLog::append(const std::vector<protocol::LogEntry> &entries,
                                std::uint64_t batch) {
  if (entries.empty()) {
    return {};
  }
  if (ActiveSegment.size() >= SegmentBytes &&
      entries.front().index() == LastIndex + 1) {
    BOOST_LEAF_CHECK(startSegment());
  }
  std::string bytes;
  for (const protocol::LogEntry &it : entries) {
    bytes += encodeRecord(it, batch);
  }
  BOOST_LEAF_CHECK(ActiveSegment.appendAndSync(bytes));
  LastIndex = entries.back().index();
  LastTerm = entries.back().term();
  LastBatch = batch;
  return {};
}

Result<void> SegmentLog::reset(std::uint64_t baseIndex,
                               std::uint64_t baseTerm) {
  LastIndex = baseIndex;
  LastTerm = baseTerm;
  BOOST_LEAF_CHECK(startSegment());
  while (Segments.size() > 1) {
    BOOST_LEAF_CHECK(removeSegment(Segments.front()));
    Segments.pop_front();
  }
  return syncFolder(Folder);
}

Result<void> SegmentLog::discardThrough(std::uint64_t index) {
  bool removed = false;
  while (Segments.size() > 1 && Segments[1].BaseIndex <= index) {
    BOOST_LEAF_CHECK(removeSegment(Segments.front()));
    Segments.pop_front();
    removed = true;
  }
  return removed ? syncFolder(Folder) : Result<void>();
}

Result<void> SegmentLog::removeSegment(const Segment &segment) {
  if (::unlink(pathOf(segment).c_str()) != 0 && errno != ENOENT) {
    return boost::leaf::new_error(systemError(pathOf(segment), "remove"));
  }
  return {};
}

} // namespace masticwinch::storage
