#pragma once

#include "masticwinch/timeline/event_filter.hpp"
#include "masticwinch/timeline/event_reader.hpp"

#include <algorithm>
#include <memory>
#include <vector>

namespace masticwinch {

/// Receives the events of a timeline in merged order.
template <class Type>
concept EventWriter = requires(Type writer, const EventRecord &record) {
  writer.write(record);
};

/// Merges the events of several file chains in the order of their hybrid
/// timestamps. Equal timestamps are ordered by process name, then by the
/// position of the chain. Only one event per chain is held in memory.
class EventMerge {
public:
  explicit EventMerge(const std::vector<EventFileChain> &chains);

  /// Passes every event that matches the filter to the writer. Stops reading at
  /// the first event after the end of the filter's time range. Returns the
  /// problems found in the lines that were read.
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

  /// Returns the next event in merged order, or nullopt at the end.
  std::optional<EventRecord> next();

  EventReadProblems problems() const;

private:
  struct Head {
    HybridStamp Stamp;
    EventRecord Record;
    std::size_t Reader = 0;
  };

  /// Heap order that puts the earliest event at the front.
  static bool isLater(const Head &a, const Head &b);
  void refill(std::size_t reader);

  std::vector<std::unique_ptr<EventReader>> Readers;
  std::vector<Head> Heads;
};

} // namespace masticwinch
