#include "masticwinch/stand_in/line_file.hpp"

#include <fmt/format.h>

#include <stdexcept>

namespace masticwinch {

std::string unixTimeText(SystemTime at) {
  const auto millis =
      std::chrono::floor<Milliseconds>(at.time_since_epoch()).count();
  return fmt::format("{}.{:03}", millis / 1000, millis % 1000);
}

LineFile::LineFile(const std::string &file) : Out(file, std::ios::app) {
  if (!Out) {
    throw std::runtime_error("can't open " + file);
  }
}

void LineFile::append(std::initializer_list<EventField> fields) {
  std::string line;
  for (const EventField &it : fields) {
    line += line.empty() ? "" : " ";
    line += fmt::format("{}={}", it.Key, quoteEventValue(it.Value));
  }
  Out << line + "\n" << std::flush;
}

} // namespace masticwinch
