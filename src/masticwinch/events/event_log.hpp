#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/common/hybrid_clock.hpp"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace masticwinch {

namespace internal {
class BoundedOutputSink;
} // namespace internal

/// One key=value pair of an event line.
struct EventField {
  EventField(std::string_view key, std::string_view value)
      : Key(key), Value(value) {}
  EventField(std::string_view key, const char *value)
      : Key(key), Value(value) {}
  EventField(std::string_view key, const std::string &value)
      : Key(key), Value(value) {}
  template <class Number>
  requires std::is_arithmetic_v<Number> EventField(std::string_view key,
                                                   Number value)
      : Key(key), Value(std::to_string(value)) {}

  std::string_view Key;
  std::string Value;
};

/// Where the events of a process go.
struct EventLogOptions {
  /// Name of the process in the cell, such as `entry-2`.
  std::string Process;
  /// Number that differs at every start of the process.
  std::uint64_t Incarnation = 0;
  /// File that lines are appended to; `StandardOutput` for standard output;
  /// empty for standard error.
  std::string File;
  /// Lines of standard output in a second; more are dropped and counted.
  std::size_t LinesPerSecond = 400;
  /// Size in bytes at which the file is rotated.
  std::size_t RotateBytes = 64U * 1024 * 1024;
  /// Rotated files that are kept.
  std::size_t RotateFiles = 4;
};

/// Names standard output as the file of an event log. It is never waited for:
/// what it does not take at once is dropped and counted.
inline constexpr const char *StandardOutput = "-";

/// Writes one line of key=value pairs for each event, with wall time, hybrid
/// stamp, process and incarnation in front. Safe to use from several threads.
class EventLog {
public:
  EventLog(EventLogOptions options, const Clock &clock);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Writes an event whose kind is a named enumerator of some package.
  template <NamedEnum Kind>
  void write(Kind kind, std::initializer_list<EventField> fields = {}) {
    writeNamed(nameOf(kind), fields);
  }

  /// Writes an event by its name.
  void writeNamed(std::string_view name,
                  std::initializer_list<EventField> fields = {});

  /// Writes an event with fields that were collected elsewhere.
  void
  writeFields(std::string_view name,
              const std::vector<std::pair<std::string, std::string>> &fields);

  /// Lines that were dropped since the start.
  std::uint64_t droppedLines() const;

  /// Clock that stamps the events; messages carry and observe its stamps.
  HybridClock &hybridClock() { return Hybrid; }

private:
  struct Sink;
  std::string lineHead(std::string_view name);
  EventLogOptions Options;
  const Clock &Source;
  HybridClock Hybrid;
  std::unique_ptr<Sink> Output;
  /// Set if the events go to standard output.
  std::shared_ptr<internal::BoundedOutputSink> Bounded;
};

/// A value as it stands in an event line: bare if it has neither space, quote
/// nor control character, else quoted with backslash escapes.
std::string quoteEventValue(std::string_view value);

} // namespace masticwinch
