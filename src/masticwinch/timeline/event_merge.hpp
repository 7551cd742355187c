#pragma once

#include "masticwinch/timeline/event_filter.hpp"
#include "masticwinch/timeline/event_reader.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace masticwinch {

/// Takes the events of a time line in their order.
template <class Type>
concept EventWriter = requires(Type writer, const EventRecord &record) {
  writer.write(record);
};

/// Merges the events of several chains of files in the order of their hybrid
/// stamps; equal stamps are ordered by process name and position. One event per
/// chain is held in memory at a time.
class EventMerge {
public:
  explicit EventMerge(const std::vector<EventFileChain> &chains);

  /// Hands every event that passes the filter to the writer; returns what was
  /// wrong with the lines read. Reading stops after the filter's last moment.
  template <EventWriter Writer>
  EventReadProblems run(const EventFilter &filter, Writer &writer) {
    while (std::optional<EventRecord> record = next()) {
      if (record->Stamp.Millis > filter.ToMillis.value_or(UINT64_MAX)) {
        break;
      }
      if (filter.matches(*record)) {
        writer.write(*record);
      }
    }
    return problems();
  }

  /// The next event of the merged order.
  std::optional<EventRecord> next();

  EventReadProblems problems() const;

private:
  struct Head {
    HybridStamp Stamp;
    EventRecord Record;
    std::size_t Reader = 0;
  };

  /// Orders the heap so that its front is the earliest event.
  static bool isLater(const Head &a, const Head &b);
  void refill(std::size_t reader);

  std::vector<std::unique_ptr<EventReader>> Readers;
  std::vector<Head> Heads;
};

} // namespace masticwinch
