#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticwinch {

/// What a task of a stand-in worker does, from its payload.
struct TaskPayload {
  /// How long it runs; nothing for the default of its kind.
  std::optional<Milliseconds> RunTime;
  /// Fails at its end.
  bool Fail = false;
  /// How long it takes to stop, within the grace that it is given.
  Milliseconds StopTime{0};
  /// Real use, where it differs from what was declared.
  std::optional<std::int64_t> UseMilliProcessors;
  std::optional<std::int64_t> UseMemoryMib;
};

/// Reads a JSON object with `run_ms`, `fail`, `stop_ms`,
/// `use_milli_processors` and `use_memory_mib`, all optional. Any other text is
/// a payload that says nothing.
TaskPayload parseTaskPayload(const std::string &text);

} // namespace masticwinch
