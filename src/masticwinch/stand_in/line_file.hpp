#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"

#include <fstream>
#include <initializer_list>
#include <string>

namespace masticwinch {

/// Wall time as the files of stand-ins state it: seconds since 1970 with
/// milliseconds.
std::string unixTimeText(SystemTime at);

/// Appends key=value lines to a file, each handed to the system at once, so
/// that a killed process loses none.
class LineFile {
public:
  /// Throws `std::runtime_error` if the file can't be opened.
  explicit LineFile(const std::string &file);

  void append(std::initializer_list<EventField> fields);

private:
  std::ofstream Out;
};

} // namespace masticwinch
