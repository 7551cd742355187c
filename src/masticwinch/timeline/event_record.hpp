#pragma once

#include "masticwinch/common/hybrid_clock.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticwinch {

/// A key=value pair of an event line, with quotes and escapes removed.
struct EventRecordField {
  std::string Key;
  std::string Value;
};

/// A parsed event line.
struct EventRecord {
  /// Wall time of the process, as written in the file.
  std::string Time;
  HybridStamp Stamp;
  std::string Process;
  std::string Incarnation;
  std::string Event;
  std::vector<EventRecordField> Fields;

  /// Returns the value of the first field with that key.
  std::optional<std::string_view> find(std::string_view key) const;
};

/// Parses a line written by `EventLog`, without the newline. Returns nullopt if
/// the line is incomplete or malformed.
std::optional<EventRecord> parseEventLine(std::string_view line);

} // namespace masticwinch
