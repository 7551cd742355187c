#pragma once

#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticwinch {

/// Which events are shown. An empty text or a missing time lets all pass; an
/// event must meet every condition that is set.
struct EventFilter {
  std::string Request = {};
  std::string Job = {};
  std::string Task = {};
  std::string Attempt = {};
  /// Name of a VM: the process that wrote the event, or one that it is about.
  std::string Vm = {};
  /// Version of a profile or revision of the configuration.
  std::string Version = {};
  std::string Event = {};
  /// Hybrid time in milliseconds since 1970, both inclusive.
  std::optional<std::uint64_t> FromMillis = {};
  std::optional<std::uint64_t> ToMillis = {};

  bool matches(const EventRecord &record) const;
};

/// Reads a time given as milliseconds since 1970 or in the form
/// 2026-12-03T20:00:00Z, with or without a fraction. The fraction is read to
/// milliseconds.
std::optional<std::uint64_t> parseEventTime(const std::string &text);

} // namespace masticwinch
