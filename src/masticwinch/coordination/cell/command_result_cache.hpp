#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace masticwinch::cell {

/// Names one change of one author.
struct RequestKey {
  std::string Author;
  std::string RequestId;

  auto operator<=>(const RequestKey &) const = default;
};

/// Results of earlier commands by author and request id, so that a resent
/// command gets the first answer again. Bounded by age and by number.
class CommandResultCache {
public:
  /// How long a result is remembered, by the leader's time stamps.
  static constexpr std::uint64_t RetentionMs = 24ULL * 60 * 60 * 1000;
  static constexpr std::size_t MaxResults = 100'000;

  /// The remembered result; null if the key is new.
  const protocol::RememberedResult *find(const RequestKey &key) const;

  /// Remembers a result and forgets those that are too old or too many.
  void store(protocol::RememberedResult result);

  /// All results, oldest first, for a snapshot.
  const std::deque<protocol::RememberedResult> &all() const { return Results; }

private:
  void evictOld(std::uint64_t nowMs);

  std::deque<protocol::RememberedResult> Results;
  std::map<RequestKey, std::uint64_t> Positions;
  std::uint64_t EvictedCount = 0;
};

} // namespace masticwinch::cell
