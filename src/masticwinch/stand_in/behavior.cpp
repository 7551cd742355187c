#include "masticwinch/stand_in/behavior.hpp"

#include <charconv>

namespace masticwinch {

namespace {

constexpr std::int64_t MaxDelayMs = 3600 * 1000;
constexpr std::int64_t MaxAnswerBytes = 64 * 1024 * 1024;

/// A `name` or `name=number` item of the list.
struct Directive {
  std::string_view Name;
  std::optional<std::int64_t> Number;
};

std::string_view trim(std::string_view text) {
  while (text.starts_with(' ')) {
    text.remove_prefix(1);
  }
  while (text.ends_with(' ')) {
    text.remove_suffix(1);
  }
  return text;
}

std::optional<Directive> parseDirective(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return Directive{text, std::nullopt};
  }
  const std::string_view digits = text.substr(equals + 1);
  std::int64_t number = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return Directive{text.substr(0, equals), number};
}

bool isWithin(const Directive &directive, std::int64_t min, std::int64_t max) {
  return directive.Number && *directive.Number >= min &&
         *directive.Number <= max;
}

bool applyNumber(Behavior &behavior, const Directive &directive) {
  if (directive.Name == "delay" && isWithin(directive, 0, MaxDelayMs)) {
    behavior.Delay = Milliseconds(*directive.Number);
  } else if (directive.Name == "fail" && isWithin(directive, 400, 599)) {
    behavior.Status = static_cast<std::uint16_t>(*directive.Number);
  } else if (directive.Name == "size" &&
             isWithin(directive, 0, MaxAnswerBytes)) {
    behavior.AnswerBytes = static_cast<std::size_t>(*directive.Number);
  } else {
    return false;
  }
  return true;
}

bool applyFlag(Behavior &behavior, const Directive &directive) {
  if (directive.Name == "hang") {
    behavior.Hang = true;
  } else if (directive.Name == "truncate") {
    behavior.Truncate = true;
  } else if (directive.Name == "refuse") {
    behavior.Refuse = true;
  } else if (directive.Name == "busy") {
    behavior.Busy = true;
  } else {
    return false;
  }
  return true;
}

} // namespace

std::optional<Behavior> applyBehavior(Behavior behavior,
                                      std::string_view text) {
  while (!text.empty()) {
    const std::string_view part = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), part.size() + 1));
    const std::optional<Directive> directive = parseDirective(trim(part));
    if (!directive || !(directive->Number ? applyNumber(behavior, *directive)
                                          : applyFlag(behavior, *directive))) {
      return std::nullopt;
    }
  }
  return behavior;
}

} // namespace masticwinch
