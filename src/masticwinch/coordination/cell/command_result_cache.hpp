#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace masticwinch::cell {

/// Identifies a command by its author and request id.
struct RequestKey {
  std::string Author;
  std::string RequestId;

  auto operator<=>(const RequestKey &) const = default;
};

/// Results of earlier commands by author and request id, so that a resent
/// command gets its first result again. Limited by age and by number.
class CommandResultCache {
public:
  /// How long a result is kept, measured by the leader's timestamps.
  static constexpr std::uint64_t RetentionMs = 24ULL * 60 * 60 * 1000;
  static constexpr std::size_t MaxResults = 100'000;

  /// Returns the stored result; null if there is none.
  const protocol::RememberedResult *find(const RequestKey &key) const;

  /// Stores a result and evicts those that are too old or exceed the maximum
  /// number.
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
