#include "masticwinch/timeline/timeline_writers.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/markup/escape_markup.hpp"
#include "masticwinch/timeline/internal/timeline_page.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace masticwinch {

namespace {

using Json = nlohmann::ordered_json;

std::string dump(const EventRecord &record) {
  Json json;
  json["time"] = record.Time;
  json["hlc"] = record.Stamp.text();
  json["process"] = record.Process;
  json["incarnation"] = record.Incarnation;
  json["event"] = record.Event;
  json["fields"] = Json::object();
  for (const EventRecordField &it : record.Fields) {
    json["fields"][it.Key] = it.Value;
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Serialises an event as JSON with `<` escaped, so that no value can close the
/// script element that contains it.
std::string dumpForScript(const EventRecord &record) {
  std::string text;
  for (char c : dump(record)) {
    text += c == '<' ? std::string("\\u003c") : std::string(1, c);
  }
  return text;
}

} // namespace

void TextTimelineWriter::write(const EventRecord &record) {
  const std::string process = record.Process + "/" + record.Incarnation;
  std::string line =
      fmt::format("{} {:<14} {}", record.Time, process, record.Event);
  for (const EventRecordField &it : record.Fields) {
    line += " " + it.Key + "=" + quoteEventValue(it.Value);
  }
  Out << line << '\n';
}

void JsonTimelineWriter::write(const EventRecord &record) {
  Out << dump(record) << '\n';
}

HtmlTimelineWriter::HtmlTimelineWriter(std::ostream &out, std::string title,
                                       std::uint64_t limit)
    : Out(out), Limit(limit) {
  const std::string escaped = escapeMarkup(title);
  Out << internal::TimelinePageStart << "<title>" << escaped
      << "</title></head><body><h1>" << escaped << "</h1>"
      << internal::TimelinePageBody;
}

void HtmlTimelineWriter::write(const EventRecord &record) {
  if (Total < Limit) {
    Out << (Total == 0 ? "" : ",\n") << dumpForScript(record);
  }
  ++Total;
}

void HtmlTimelineWriter::finish() {
  Out << "]</script><script>const leftOut=" << leftOut() << ";"
      << internal::TimelinePageScript << "</script></body></html>\n";
}

} // namespace masticwinch
