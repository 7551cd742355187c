#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"

#include <fstream>
#include <initializer_list>
#include <string>

namespace masticwinch {

/// Formats wall time for the output files of stand-ins: seconds since 1970 with
/// three decimals.
std::string unixTimeText(SystemTime at);

/// Appends key=value lines to a file. Each line is flushed to the operating
/// system at once, so that no line is lost if the process is killed.
class LineFile {
public:
  /// Throws `std::runtime_error` if the file can't be opened.
  explicit LineFile(const std::string &file);

  void append(std::initializer_list<EventField> fields);

private:
  std::ofstream Out;
};

} // namespace masticwinch
