#include "masticwinch/timeline/event_filter.hpp"

#include <algorithm>
#include <ctime>
#include <initializer_list>
#include <iomanip>
#include <sstream>

namespace masticwinch {

namespace {

constexpr std::uint64_t MillisPerSecond = 1000;

bool hasValue(const EventRecord &record, const std::string &expected,
              std::initializer_list<std::string_view> keys) {
  if (expected.empty()) {
    return true;
  }
  for (const EventRecordField &it : record.Fields) {
    const bool keyMatches =
        std::find(keys.begin(), keys.end(), it.Key) != keys.end();
    if (keyMatches && it.Value == expected) {
      return true;
    }
  }
  return false;
}

bool involvesVm(const EventRecord &record, const std::string &vm) {
  return record.Process == vm ||
         hasValue(record, vm,
                  {"vm", "worker", "upstream", "entry", "member", "leader"});
}

bool isDigits(const std::string &text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

/// Converts a fraction of a second such as `.25` to milliseconds. Returns
/// nullopt if it is malformed.
std::optional<std::uint64_t> parseFraction(std::string text) {
  if (text.empty()) {
    return 0;
  }
  if (text.front() != '.' || !isDigits(text.substr(1))) {
    return std::nullopt;
  }
  constexpr std::size_t Digits = 3;
  text = text.substr(1);
  text.resize(Digits, '0');
  return std::stoull(text);
}

} // namespace

bool EventFilter::matches(const EventRecord &record) const {
  const std::uint64_t millis = record.Stamp.Millis;
  return millis >= FromMillis.value_or(0) &&
         millis <= ToMillis.value_or(UINT64_MAX) &&
         (Event.empty() || record.Event == Event) &&
         (Vm.empty() || involvesVm(record, Vm)) &&
         hasValue(record, Request, {"request"}) &&
         hasValue(record, Job, {"job"}) && hasValue(record, Task, {"task"}) &&
         hasValue(record, Attempt, {"attempt"}) &&
         hasValue(record, Version, {"version", "revision", "configuration"});
}

std::optional<std::uint64_t> parseEventTime(const std::string &text) {
  constexpr std::size_t MaxDigits = 18;
  if (isDigits(text) && text.size() <= MaxDigits) {
    return std::stoull(text);
  }
  std::tm parts{};
  std::istringstream in(text);
  in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
  std::string rest;
  if (!in || !std::getline(in, rest, 'Z') || in.eof() || in.peek() != EOF) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> fraction = parseFraction(rest);
  const std::time_t seconds = timegm(&parts);
  if (!fraction || seconds < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(seconds) * MillisPerSecond + *fraction;
}

} // namespace masticwinch
