#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace masticwinch {

/// Bytes that messages of a server's connections hold, as they are stored, and
/// the connection that is to give its bytes up when together they exceed a
/// limit. Has as many entries as there are connections that hold any. Does no
/// I/O.
class HeldBytes {
public:
  using Id = std::uint64_t;

  explicit HeldBytes(std::size_t limit) : Limit(limit) {}

  /// Records what the unfinished request of a connection holds, and what whole
  /// requests hold that have arrived before it and are not handled yet.
  void received(Id connection, std::size_t unfinished,
                const std::vector<std::size_t> &whole, SteadyTime now);

  /// Hands the first whole request of a connection over to its handler; returns
  /// its bytes, which count until `release`.
  std::size_t take(Id connection);
  void release(std::size_t bytes);

  /// Records a response that is to be written, and that one was written or
  /// given up.
  void responseBegan(Id connection, std::size_t bytes, SteadyTime now);
  void responseEnded(Id connection, std::size_t bytes);

  /// Discounts what a connection holds that isn't handed over. Returns whether
  /// it held any.
  bool forget(Id connection);

  bool isExceeded() const { return Total > Limit; }

  /// Whether an unhandled request of a connection exceeds the limit by itself.
  bool exceedsAlone(Id connection) const;

  /// The connection that has held the bytes of an unfinished request or an
  /// unwritten response for longest, of those that satisfy the condition.
  std::optional<Id>
  longestHolding(const std::function<bool(Id)> &condition) const;

  std::size_t total() const { return Total; }
  std::size_t peak() const { return Peak; }
  std::size_t limit() const { return Limit; }

private:
  struct Entry {
    std::size_t Unfinished = 0;
    std::deque<std::size_t> Whole;
    std::size_t Responses = 0;
    std::optional<SteadyTime> Since;

    std::size_t sum() const;
  };

  void add(std::size_t bytes);
  void update(std::map<Id, Entry>::iterator entry, SteadyTime now);

  const std::size_t Limit;
  std::size_t Total = 0;
  std::size_t Peak = 0;
  std::map<Id, Entry> Entries;
  /// Connections with an unfinished request or an unwritten response.
  std::set<std::pair<SteadyTime, Id>> BySince;
};

} // namespace masticwinch
