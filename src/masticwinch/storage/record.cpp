#include "masticwinch/storage/record.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace masticwinch::storage {

namespace {

constexpr std::uint64_t FrameMagic = 0x3152474f4c57434dULL;
constexpr std::size_t SectorBytes = 512;

using FrameWords = std::array<std::uint64_t, FrameBytes / 8>;

std::uint64_t wordsChecksum(const FrameWords &words) {
  return XXH3_64bits(words.data(), FrameBytes - sizeof(std::uint64_t));
}

bool allZero(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](char c) { return c == '\0'; });
}

/// True if part of the range consists of zeros, as if it had never reached the
/// disk.
bool hasUnwrittenPart(std::string_view bytes, std::size_t begin,
                      std::size_t end) {
  if (allZero(bytes.substr(begin, std::min(FrameBytes, end - begin)))) {
    return true;
  }
  const std::size_t first = (begin + SectorBytes - 1) / SectorBytes;
  for (std::size_t at = first * SectorBytes; at + SectorBytes <= end;
       at += SectorBytes) {
    if (allZero(bytes.substr(at, SectorBytes))) {
      return true;
    }
  }
  return false;
}

/// Decides whether the invalid bytes starting at `begin` had been synced. A
/// frame further on shows that writing continued behind them, so they are
/// damaged, unless parts never reached the disk and everything that follows
/// belongs to the same sync.
bool isDamaged(std::string_view bytes, std::size_t begin,
               std::uint64_t lastBatch) {
  const auto header = decodeFrame(bytes, begin);
  const std::uint64_t batch = header ? header->Batch : lastBatch + 1;
  std::optional<std::size_t> first;
  for (std::size_t at = begin + 1; at + FrameBytes <= bytes.size(); ++at) {
    const auto frame = decodeFrame(bytes, at);
    if (!frame) {
      continue;
    }
    if (frame->Batch > batch) {
      return true;
    }
    if (!first) {
      first = at;
    }
  }
  return first && !hasUnwrittenPart(bytes, begin, *first);
}

} // namespace

std::uint64_t payloadChecksum(std::string_view payload) {
  return XXH3_64bits(payload.data(), payload.size());
}

std::string encodeFrame(const RecordFrame &frame) {
  FrameWords words{
      FrameMagic,         frame.Index,           frame.Term, frame.Batch,
      frame.PayloadBytes, frame.PayloadChecksum, 0};
  words.back() = wordsChecksum(words);
  return {reinterpret_cast<const char *>(words.data()), FrameBytes};
}

std::optional<RecordFrame> decodeFrame(std::string_view bytes,
                                       std::size_t offset) {
  if (offset + FrameBytes > bytes.size()) {
    return std::nullopt;
  }
  FrameWords words;
  std::memcpy(words.data(), bytes.data() + offset, FrameBytes);
  if (words[0] != FrameMagic || words.back() != wordsChecksum(words)) {
    return std::nullopt;
  }
  return RecordFrame{words[1], words[2], words[3], words[4], words[5]};
}

std::string encodeRecord(const protocol::LogEntry &entry, std::uint64_t batch) {
  const std::string payload = entry.SerializeAsString();
  const std::string frame =
      encodeFrame({entry.index(), entry.term(), batch, payload.size(),
                   payloadChecksum(payload)});
  return frame + payload + frame;
}

RecordScan scanRecords(std::string_view bytes, std::uint64_t batch) {
  RecordScan scan;
  scan.LastBatch = batch;
  while (scan.ValidBytes < bytes.size()) {
    const std::size_t begin = scan.ValidBytes;
    const auto frame = decodeFrame(bytes, begin);
    const std::size_t remaining = bytes.size() - begin;
    protocol::LogEntry entry;
    const bool complete = frame && frame->PayloadBytes <= remaining &&
                          frame->PayloadBytes + 2 * FrameBytes <= remaining;
    const std::string_view payload =
        complete ? bytes.substr(begin + FrameBytes, frame->PayloadBytes)
                 : std::string_view();
    if (!complete || payloadChecksum(payload) != frame->PayloadChecksum ||
        !entry.ParseFromArray(payload.data(),
                              static_cast<int>(payload.size())) ||
        entry.index() != frame->Index || entry.term() != frame->Term) {
      scan.Damaged = isDamaged(bytes, begin, scan.LastBatch);
      return scan;
    }
    scan.Entries.push_back(std::move(entry));
    scan.LastBatch = frame->Batch;
    scan.ValidBytes = begin + payload.size() + 2 * FrameBytes;
  }
  return scan;
}

} // namespace masticwinch::storage
