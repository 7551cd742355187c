#pragma once

#include "masticwinch/common/result.hpp"

#include <string>
#include <vector>

namespace masticwinch {

/// Why a time line could not be made.
struct TimelineError {
  std::string Reason;
};

/// The event file of one process and its rotated predecessors, oldest first.
struct EventFileChain {
  std::vector<std::string> Files;
};

/// Groups files into chains: NAME.events, NAME.1.events, NAME.2.events and so
/// on belong together, the highest number being the oldest. A folder stands for
/// all files below it that end in `.events`. Chains are sorted by name. Fails
/// with `TimelineError` if a path isn't there or no file is found.
Result<std::vector<EventFileChain>>
findEventFiles(const std::vector<std::string> &paths);

} // namespace masticwinch
