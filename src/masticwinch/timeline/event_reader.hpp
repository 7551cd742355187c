#pragma once

#include "masticwinch/timeline/event_files.hpp"
#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <fstream>
#include <optional>
#include <vector>

namespace masticwinch {

/// Counts of the problems found while reading events.
struct EventReadProblems {
  /// Lines that could not be parsed as an event.
  std::uint64_t Malformed = 0;
  /// Last lines without a newline, left by a process that crashed during a
  /// write.
  std::uint64_t Torn = 0;
  /// Events with a lower timestamp than an earlier event of the same chain.
  /// They keep their position in the file order.
  std::uint64_t OutOfOrder = 0;
  /// Files that could not be opened.
  std::uint64_t Unreadable = 0;

  EventReadProblems &operator+=(const EventReadProblems &other);
  bool any() const;
};

/// Reads the events of one file chain sequentially. Memory use is bounded by
/// the maximum line length.
class EventReader {
public:
  explicit EventReader(EventFileChain chain);

  /// Returns the next event, or nullopt at the end.
  std::optional<EventRecord> next();

  /// Merge key of the event that was returned last: the highest timestamp so
  /// far.
  HybridStamp mergeStamp() const { return Highest; }

  const EventReadProblems &problems() const { return Problems; }

private:
  enum class LineState { Complete, Torn, Overlong, End };

  bool openNext();
  LineState readLine();
  std::optional<EventRecord> parseLine();

  EventFileChain Chain;
  std::size_t NextFile = 0;
  std::ifstream In;
  std::vector<char> Buffer;
  std::string_view Line;
  HybridStamp Highest;
  EventReadProblems Problems;
};

} // namespace masticwinch
