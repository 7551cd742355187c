#pragma once

#include "masticwinch/common/hybrid_clock.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// A key=value pair as it was read from an event line, unquoted.
struct EventRecordField {
  std::string Key;
  std::string Value;
};

/// One event line, parsed.
struct EventRecord {
  /// Wall time of the process in the form that it was written.
  std::string Time;
  HybridStamp Stamp;
  std::string Process;
  std::string Incarnation;
  std::string Event;
  std::vector<EventRecordField> Fields;

  /// Value of the first field of that key.
  std::optional<std::string_view> find(std::string_view key) const;
};

/// Parses a line written by `EventLog`, without its line end. Nothing if the
/// line is not whole.
std::optional<EventRecord> parseEventLine(std::string_view line);

} // namespace masticwinch
