#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/stand_in/lease_message.hpp"
#include "masticwinch/stand_in/stand_in_settings.hpp"

namespace masticwinch {

/// How a stand-in worker runs its tasks.
struct WorkerBehavior {
  /// Whether every task fails once the start delay has passed.
  bool FailAll = false;
  /// Simulated startup time, added to the run time of each task.
  Milliseconds StartDelay{0};
  /// Reported usage of processors and memory, in percent of the declared
  /// resources.
  std::int64_t UsagePercent = 100;
  /// Time after the start of a task during which its usage is reported as 0.
  Milliseconds UsageLag{1000};
};

/// Settings of a stand-in worker.
struct WorkerSettings {
  StandInSettings Common;
  VmResources Capacity;
  WorkerBehavior Behavior;
};

/// Reads the settings file of a stand-in worker. Errors: `SettingsError`.
Result<WorkerSettings> readWorkerSettings(const std::string &file);

} // namespace masticwinch
