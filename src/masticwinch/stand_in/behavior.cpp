#include "masticwinch/stand_in/behavior.hpp"

#include <charconv>

namespace masticwinch {

namespace {

constexpr std::int64_t MaxDelayMs = 3600 * 1000;
constexpr std::int64_t MaxAnswerBytes = 64 * 1024 * 1024;

/// One `name` or `name=number` of the list.
struct Word {
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

std::optional<Word> parseWord(std::string_view text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) {
    return Word{text, std::nullopt};
  }
  const std::string_view digits = text.substr(equals + 1);
  std::int64_t number = 0;
  const auto [end, ec] =
      std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return Word{text.substr(0, equals), number};
}

bool isWithin(const Word &word, std::int64_t min, std::int64_t max) {
  return word.Number && *word.Number >= min && *word.Number <= max;
}

bool applyNumber(Behavior &behavior, const Word &word) {
  if (word.Name == "delay" && isWithin(word, 0, MaxDelayMs)) {
    behavior.Delay = Milliseconds(*word.Number);
  } else if (word.Name == "fail" && isWithin(word, 400, 599)) {
    behavior.Status = static_cast<std::uint16_t>(*word.Number);
  } else if (word.Name == "size" && isWithin(word, 0, MaxAnswerBytes)) {
    behavior.AnswerBytes = static_cast<std::size_t>(*word.Number);
  } else {
    return false;
  }
  return true;
}

bool applyFlag(Behavior &behavior, const Word &word) {
  if (word.Name == "hang") {
    behavior.Hang = true;
  } else if (word.Name == "truncate") {
    behavior.Truncate = true;
  } else if (word.Name == "refuse") {
    behavior.Refuse = true;
  } else if (word.Name == "busy") {
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
    const std::optional<Word> word = parseWord(trim(part));
    if (!word || !(word->Number ? applyNumber(behavior, *word)
                                : applyFlag(behavior, *word))) {
      return std::nullopt;
    }
  }
  return behavior;
}

} // namespace masticwinch
