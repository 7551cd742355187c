#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace masticwinch {

/// Simulated behaviour of a task on a stand-in worker, parsed from its payload.
struct TaskPayload {
  /// Run time. Without it, a service runs until it is stopped and other tasks
  /// run for a default time.
  std::optional<Milliseconds> RunTime;
  /// Whether the task fails at the end of its run time.
  bool Fail = false;
  /// Time that the task takes to stop, limited by the grace period.
  Milliseconds StopTime{0};
  /// Reported usage if it differs from the share that the worker settings give.
  std::optional<std::int64_t> UseMilliProcessors;
  std::optional<std::int64_t> UseMemoryMib;
};

/// Parses a JSON object with `run_ms`, `fail`, `stop_ms`,
/// `use_milli_processors` and `use_memory_mib`, all optional. Any other text
/// gives the defaults.
TaskPayload parseTaskPayload(const std::string &text);

} // namespace masticwinch
