#pragma once

#include "masticwinch/timeline/event_record.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace masticwinch {

/// Writes one line for people for each event: time, process and incarnation,
/// event and fields.
class TextTimelineWriter {
public:
  explicit TextTimelineWriter(std::ostream &out) : Out(out) {}
  void write(const EventRecord &record);

private:
  std::ostream &Out;
};

/// Writes one JSON object on a line of its own for each event.
class JsonTimelineWriter {
public:
  explicit JsonTimelineWriter(std::ostream &out) : Out(out) {}
  void write(const EventRecord &record);

private:
  std::ostream &Out;
};

/// Writes one HTML page without outside resources: a lane for each process,
/// details of an event on a click. Events beyond the limit are counted and left
/// out, since a browser can't show millions.
class HtmlTimelineWriter {
public:
  HtmlTimelineWriter(std::ostream &out, std::string title, std::uint64_t limit);

  void write(const EventRecord &record);

  /// Ends the page; call once after the last event.
  void finish();

  std::uint64_t leftOut() const { return Total > Limit ? Total - Limit : 0; }

private:
  std::ostream &Out;
  std::uint64_t Limit;
  std::uint64_t Total = 0;
};

} // namespace masticwinch
