#pragma once

#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace masticwinch {

/// Writes each event as a line of readable text: time, process and incarnation,
/// event name and fields.
class TextTimelineWriter {
public:
  explicit TextTimelineWriter(std::ostream &out) : Out(out) {}
  void write(const EventRecord &record);

private:
  std::ostream &Out;
};

/// Writes each event as a JSON object on a separate line.
class JsonTimelineWriter {
public:
  explicit JsonTimelineWriter(std::ostream &out) : Out(out) {}
  void write(const EventRecord &record);

private:
  std::ostream &Out;
};

/// Writes a self-contained HTML page with a column for each process; a click on
/// an event shows its details. Events beyond the limit are counted and omitted,
/// because browsers can't show millions of events.
class HtmlTimelineWriter {
public:
  HtmlTimelineWriter(std::ostream &out, std::string title, std::uint64_t limit);

  void write(const EventRecord &record);

  /// Completes the page. Must be called once, after the last event.
  void finish();

  std::uint64_t leftOut() const { return Total > Limit ? Total - Limit : 0; }

private:
  std::ostream &Out;
  std::uint64_t Limit;
  std::uint64_t Total = 0;
};

} // namespace masticwinch
