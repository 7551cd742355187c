#pragma once

#include "masticwinch/common/result.hpp"

#include <string>
#include <vector>

namespace masticwinch {

/// The reason why a timeline could not be produced.
struct TimelineError {
  std::string Reason;
};

/// The current event file of one process and its rotated files, oldest first.
struct EventFileChain {
  std::vector<std::string> Files;
};

/// Groups event files into chains: NAME.events, NAME.1.events, NAME.2.events
/// and so on form one chain, in which the highest number is the oldest file.
/// Folders are searched recursively for files that end in `.events`. Chains are
/// sorted by name. Errors: `TimelineError` if a path doesn't exist or no file
/// is found.
Result<std::vector<EventFileChain>>
findEventFiles(const std::vector<std::string> &paths);

} // namespace masticwinch
