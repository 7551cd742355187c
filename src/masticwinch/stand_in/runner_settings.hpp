#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/stand_in/behavior.hpp"
#include "masticwinch/stand_in/stand_in_settings.hpp"

#include <string>

namespace masticwinch {

/// Settings of a stand-in runner.
struct RunnerSettings {
  StandInSettings Common;
  std::string Service;
  /// What it announces; it never enforces these, it measures them.
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// Treatment of requests that don't choose another.
  Behavior Default;
  /// After a leave it exits once no request came for this long.
  Milliseconds Linger{3000};
};

/// Reads a settings file. Errors: `SettingsError`.
Result<RunnerSettings> readRunnerSettings(const std::string &file);

} // namespace masticwinch
