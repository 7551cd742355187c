#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/stand_in/lease_message.hpp"
#include "masticwinch/stand_in/stand_in_settings.hpp"

namespace masticwinch {

/// How a stand-in worker treats its tasks.
struct WorkerBehavior {
  /// Every task fails at once.
  bool FailAll = false;
  /// Time from a start to the task's first work.
  Milliseconds StartDelay{0};
  /// Real use of processors and memory as a share of what was declared.
  std::int64_t UsagePercent = 100;
  /// Until a task ran this long its use is reported as 0.
  Milliseconds UsageLag{1000};
};

/// Settings of a stand-in worker.
struct WorkerSettings {
  StandInSettings Common;
  VmResources Capacity;
  WorkerBehavior Behavior;
};

/// Reads a settings file. Errors: `SettingsError`.
Result<WorkerSettings> readWorkerSettings(const std::string &file);

} // namespace masticwinch
