#include "masticwinch/timeline/event_reader.hpp"

#include <limits>

namespace masticwinch {

namespace {

constexpr std::size_t MaxLineBytes = 64 * 1024;

} // namespace

EventReadProblems &
EventReadProblems::operator+=(const EventReadProblems &other) {
  Malformed += other.Malformed;
  Torn += other.Torn;
  OutOfOrder += other.OutOfOrder;
  Unreadable += other.Unreadable;
  return *this;
}

bool EventReadProblems::any() const {
  return Malformed + Torn + OutOfOrder + Unreadable > 0;
}

EventReader::EventReader(EventFileChain chain)
    : Chain(std::move(chain)), Buffer(MaxLineBytes) {}

bool EventReader::openNext() {
  while (NextFile < Chain.Files.size()) {
    In.close();
    In.clear();
    In.open(Chain.Files[NextFile], std::ios::binary);
    ++NextFile;
    if (In) {
      return true;
    }
    ++Problems.Unreadable;
  }
  return false;
}

EventReader::LineState EventReader::readLine() {
  In.getline(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
  auto length = static_cast<std::size_t>(In.gcount());
  if (In.eof()) {
    return length == 0 ? LineState::End : LineState::Torn;
  }
  if (In.fail()) {
    In.clear();
    In.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    return LineState::Overlong;
  }
  Line = std::string_view(Buffer.data(), length - 1);
  return LineState::Complete;
}

std::optional<EventRecord> EventReader::parseLine() {
  if (std::optional<EventRecord> record = parseEventLine(Line)) {
    return record;
  }
  ++Problems.Malformed;
  // A process that crashed during a write leaves an incomplete line, and after
  // its restart appends the next line directly to it.
  const std::size_t start = Line.rfind("time=");
  if (start == 0 || start == std::string_view::npos) {
    return std::nullopt;
  }
  return parseEventLine(Line.substr(start));
}

std::optional<EventRecord> EventReader::next() {
  while (In.is_open() || openNext()) {
    const LineState state = readLine();
    if (state == LineState::Complete) {
      if (std::optional<EventRecord> record = parseLine()) {
        Problems.OutOfOrder += record->Stamp < Highest ? 1 : 0;
        Highest = std::max(Highest, record->Stamp);
        return record;
      }
    } else if (state == LineState::Overlong) {
      ++Problems.Malformed;
    } else {
      Problems.Torn += state == LineState::Torn ? 1 : 0;
      In.close();
    }
  }
  return std::nullopt;
}

} // namespace masticwinch
