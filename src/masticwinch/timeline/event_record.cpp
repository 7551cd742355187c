#include "masticwinch/timeline/event_record.hpp"

#include <charconv>

namespace masticwinch {

namespace {

/// Parses the key=value pairs of a line from left to right.
class PairReader {
public:
  explicit PairReader(std::string_view line) : Rest(line) {}

  bool atEnd() const { return Rest.empty(); }

  std::optional<EventRecordField> next() {
    const std::size_t equals = Rest.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
      return std::nullopt;
    }
    EventRecordField field{std::string(Rest.substr(0, equals)), {}};
    if (field.Key.find_first_of(" \"") != std::string::npos) {
      return std::nullopt;
    }
    Rest.remove_prefix(equals + 1);
    const bool quoted = !Rest.empty() && Rest.front() == '"';
    const bool complete =
        quoted ? readQuoted(field.Value) : readBare(field.Value);
    if (!complete || !skipSeparator()) {
      return std::nullopt;
    }
    return field;
  }

private:
  bool readBare(std::string &value) {
    value = Rest.substr(0, Rest.find(' '));
    Rest.remove_prefix(value.size());
    return !value.empty() && value.find('"') == std::string::npos;
  }

  bool readQuoted(std::string &value) {
    Rest.remove_prefix(1);
    while (!Rest.empty()) {
      const char c = Rest.front();
      Rest.remove_prefix(1);
      if (c == '"') {
        return true;
      }
      if (c != '\\') {
        value += c;
      } else if (!readEscape(value)) {
        return false;
      }
    }
    return false;
  }

  bool readEscape(std::string &value) {
    if (Rest.empty()) {
      return false;
    }
    const char c = Rest.front();
    Rest.remove_prefix(1);
    if (c == 'x') {
      return readHex(value);
    }
    value += c == 'n' ? '\n' : c;
    return c == 'n' || c == '"' || c == '\\';
  }

  bool readHex(std::string &value) {
    constexpr std::size_t Digits = 2;
    constexpr int Base = 16;
    unsigned char code = 0;
    if (Rest.size() < Digits) {
      return false;
    }
    const char *end = Rest.data() + Digits;
    const auto [last, ec] = std::from_chars(Rest.data(), end, code, Base);
    if (ec != std::errc() || last != end) {
      return false;
    }
    value += static_cast<char>(code);
    Rest.remove_prefix(Digits);
    return true;
  }

  bool skipSeparator() {
    if (Rest.empty()) {
      return true;
    }
    const bool separated = Rest.front() == ' ' && Rest.size() > 1;
    Rest.remove_prefix(1);
    return separated;
  }

  std::string_view Rest;
};

bool readHeader(PairReader &pairs, std::string_view key, std::string &value) {
  std::optional<EventRecordField> field = pairs.next();
  if (!field || field->Key != key) {
    return false;
  }
  value = std::move(field->Value);
  return true;
}

} // namespace

std::optional<std::string_view> EventRecord::find(std::string_view key) const {
  for (const EventRecordField &it : Fields) {
    if (it.Key == key) {
      return it.Value;
    }
  }
  return std::nullopt;
}

std::optional<EventRecord> parseEventLine(std::string_view line) {
  PairReader pairs(line);
  EventRecord record;
  std::string stamp;
  const bool complete = readHeader(pairs, "time", record.Time) &&
                        readHeader(pairs, "hlc", stamp) &&
                        readHeader(pairs, "process", record.Process) &&
                        readHeader(pairs, "incarnation", record.Incarnation) &&
                        readHeader(pairs, "event", record.Event);
  const auto parsed = HybridStamp::parse(stamp);
  if (!complete || !parsed) {
    return std::nullopt;
  }
  record.Stamp = *parsed;
  while (!pairs.atEnd()) {
    std::optional<EventRecordField> field = pairs.next();
    if (!field || field->Key == "hlc") {
      return std::nullopt;
    }
    record.Fields.push_back(std::move(*field));
  }
  return record;
}

} // namespace masticwinch
