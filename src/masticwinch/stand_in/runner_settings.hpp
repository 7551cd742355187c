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
  /// Announced limits. The stand-in does not enforce them; it records the
  /// maximum that was in use.
  std::uint32_t Slots = 8;
  std::uint32_t Connections = 64;
  /// Behaviour for requests without a behaviour header.
  Behavior Default;
  /// Time without requests after a leave before the process exits.
  Milliseconds Linger{3000};
};

/// Reads the settings file of a stand-in runner. Errors: `SettingsError`.
Result<RunnerSettings> readRunnerSettings(const std::string &file);

} // namespace masticwinch
