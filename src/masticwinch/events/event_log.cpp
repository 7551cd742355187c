#include "masticwinch/events/event_log.hpp"

#include "masticwinch/events/internal/bounded_output_sink.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/rotating_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>

namespace masticwinch {

namespace {

bool isUnquotedCharacter(char c) {
  return c > ' ' && c != '"' && c != '\\' && c != 0x7f;
}

std::string wallTime(SystemTime at) {
  const auto millis =
      std::chrono::floor<std::chrono::milliseconds>(at.time_since_epoch());
  const auto millisOfSecond = millis.count() % 1000;
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(at);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     millisOfSecond);
}

} // namespace

std::string quoteEventValue(std::string_view value) {
  if (!value.empty() &&
      std::all_of(value.begin(), value.end(), isUnquotedCharacter)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (c == '\n') {
      quoted += "\\n";
    } else if (static_cast<unsigned char>(c) < ' ') {
      quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

struct EventLog::Sink {
  explicit Sink(std::shared_ptr<spdlog::sinks::sink> sink)
      : Logger("events", std::move(sink)) {
    Logger.set_pattern("%v");
    Logger.flush_on(spdlog::level::info);
  }
  spdlog::logger Logger;
};

EventLog::EventLog(EventLogOptions options, const Clock &clock)
    : Options(std::move(options)), Source(clock), Hybrid(clock) {
  std::shared_ptr<spdlog::sinks::sink> sink;
  if (Options.File == StandardOutput) {
    Bounded = std::make_shared<internal::BoundedOutputSink>(
        Options.LinesPerSecond, Source);
    sink = Bounded;
  } else if (Options.File.empty()) {
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  } else {
    sink = std::make_shared<spdlog::sinks::rotating_file_sink_mt>(
        Options.File, Options.RotateBytes, Options.RotateFiles);
  }
  Output = std::make_unique<Sink>(std::move(sink));
}

EventLog::~EventLog() = default;

std::uint64_t EventLog::droppedLines() const {
  return Bounded ? Bounded->dropped() : 0;
}

std::string EventLog::linePrefix(std::string_view name) {
  return fmt::format("time={} hlc={} process={} incarnation={} event={}",
                     wallTime(Source.systemNow()), Hybrid.tick().text(),
                     Options.Process, Options.Incarnation, name);
}

void EventLog::writeFields(
    std::string_view name,
    const std::vector<std::pair<std::string, std::string>> &fields,
    Frequency frequency) {
  const auto lineClass = frequency == Frequency::Frequent
                             ? internal::LineClass::Routine
                             : internal::LineClass::Process;
  if (Bounded && !Bounded->admit(lineClass)) {
    return;
  }
  std::string line = linePrefix(name);
  for (const auto &[key, value] : fields) {
    line += fmt::format(" {}={}", key, quoteEventValue(value));
  }
  Output->Logger.info(line);
}

void EventLog::writeNamed(std::string_view name,
                          std::initializer_list<EventField> fields) {
  if (Bounded && !Bounded->admit(internal::LineClass::Process)) {
    return;
  }
  std::string line = linePrefix(name);
  for (const EventField &it : fields) {
    line += fmt::format(" {}={}", it.Key, quoteEventValue(it.Value));
  }
  Output->Logger.info(line);
}

} // namespace masticwinch
