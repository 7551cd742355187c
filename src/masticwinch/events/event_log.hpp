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

/// A key=value pair of an event line.
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

/// Identity of the process and output of its events.
struct EventLogOptions {
  /// Name of the process in the cell, such as `entry-2`.
  std::string Process;
  /// Number that differs for each start of the process.
  std::uint64_t Incarnation = 0;
  /// File to append lines to; `StandardOutput` for standard output, empty for
  /// standard error.
  std::string File;
  /// Maximum lines per second on standard output; further lines are dropped
  /// and counted.
  std::size_t LinesPerSecond = 400;
  /// Size in bytes at which the file is rotated.
  std::size_t RotateBytes = 64U * 1024 * 1024;
  /// Number of rotated files to keep.
  std::size_t RotateFiles = 4;
};

/// Value of `EventLogOptions::File` that selects standard output. Writes to it
/// never block: a line that can't be written immediately is dropped and
/// counted.
inline constexpr const char *StandardOutput = "-";

/// Writes one line of key=value pairs for each event, prefixed with wall time,
/// hybrid timestamp, process and incarnation. Thread-safe.
class EventLog {
public:
  EventLog(EventLogOptions options, const Clock &clock);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  /// Writes an event whose name is that of an enumerator.
  template <NamedEnum Kind>
  void write(Kind kind, std::initializer_list<EventField> fields = {}) {
    writeNamed(nameOf(kind), fields);
  }

  /// Writes an event with the given name.
  void writeNamed(std::string_view name,
                  std::initializer_list<EventField> fields = {});

  /// How often an event occurs that is written with its fields in a list.
  enum class Frequency : std::uint8_t {
    /// With the load. On standard output, its lines are dropped at a lower
    /// rate.
    Frequent,
    /// A few times a second at most, whatever the load.
    Bounded,
  };

  /// Writes an event with a list of key and value pairs.
  void
  writeFields(std::string_view name,
              const std::vector<std::pair<std::string, std::string>> &fields,
              Frequency frequency = Frequency::Frequent);

  /// Number of lines dropped since the start.
  std::uint64_t droppedLines() const;

  /// Clock of the event timestamps, also used for the timestamps of messages.
  HybridClock &hybridClock() { return Hybrid; }

private:
  struct Sink;
  std::string linePrefix(std::string_view name);
  EventLogOptions Options;
  const Clock &Source;
  HybridClock Hybrid;
  std::unique_ptr<Sink> Output;
  /// Set if events are written to standard output.
  std::shared_ptr<internal::BoundedOutputSink> Bounded;
};

/// Formats a value for an event line: unchanged if it is not empty and has no
/// space, quote, backslash or control character, else quoted with backslash
/// escapes.
std::string quoteEventValue(std::string_view value);

} // namespace masticwinch
