#pragma once

#include "masticwinch/timeline/event_files.hpp"
#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <fstream>
#include <optional>
#include <vector>

namespace masticwinch {

/// What was wrong with the lines that were read.
struct EventReadProblems {
  /// Lines that are no whole event.
  std::uint64_t Malformed = 0;
  /// Last lines without a line end, left by a process that died while writing.
  std::uint64_t Torn = 0;
  /// Events whose stamp is lower than an earlier one of the same file; the
  /// order of the file is kept for them.
  std::uint64_t OutOfOrder = 0;
  /// Files that could not be opened.
  std::uint64_t Unreadable = 0;

  EventReadProblems &operator+=(const EventReadProblems &other);
  bool any() const;
};

/// Reads the events of one chain of files one after the other. Memory is
/// bounded by the longest line accepted.
class EventReader {
public:
  explicit EventReader(EventFileChain chain);

  /// The next event, or nothing at the end.
  std::optional<EventRecord> next();

  /// Key that the event returned last is merged by: the highest stamp so far.
  HybridStamp mergeStamp() const { return Highest; }

  const EventReadProblems &problems() const { return Problems; }

private:
  enum class LineState { Whole, Torn, Overlong, End };

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
