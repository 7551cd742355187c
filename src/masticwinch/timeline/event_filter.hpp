#pragma once

#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticwinch {

/// Conditions that an event must meet to be shown. Empty strings and unset
/// times match every event.
struct EventFilter {
  std::string Request = {};
  std::string Job = {};
  std::string Task = {};
  std::string Attempt = {};
  /// Name of a VM that wrote the event or is named in one of its fields.
  std::string Vm = {};
  /// Version of a profile, or revision of the configuration.
  std::string Version = {};
  std::string Event = {};
  /// Range of hybrid time in milliseconds since 1970; both ends are inclusive.
  std::optional<std::uint64_t> FromMillis = {};
  std::optional<std::uint64_t> ToMillis = {};

  bool matches(const EventRecord &record) const;
};

/// Parses a time given as milliseconds since 1970 or in the form
/// 2026-12-03T20:00:00Z, optionally with a fraction of a second, which is
/// truncated to milliseconds. Returns nullopt if the text is malformed.
std::optional<std::uint64_t> parseEventTime(const std::string &text);

} // namespace masticwinch
