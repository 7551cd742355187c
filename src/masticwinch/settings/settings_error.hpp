#pragma once

#include <string>
#include <vector>

namespace masticwinch {

/// One thing that is wrong with a settings file.
struct SettingsProblem {
  /// Path of the key, such as `/callers/port`; empty for the whole file.
  std::string KeyPath;
  std::string Reason;
};

/// Everything that is wrong with a settings file.
struct SettingsError {
  std::string File;
  std::vector<SettingsProblem> Problems;

  /// One line for each problem: file, key path and reason.
  std::string text() const;
};

} // namespace masticwinch
