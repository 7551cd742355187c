#pragma once

#include <string>
#include <vector>

namespace masticwinch {

/// A problem in a settings file.
struct SettingsProblem {
  /// Path of the key, such as `/callers/port`; empty if the problem concerns
  /// the whole file.
  std::string KeyPath;
  std::string Reason;
};

/// All problems in a settings file.
struct SettingsError {
  std::string File;
  std::vector<SettingsProblem> Problems;

  /// Formats one line for each problem: file, key path and reason.
  std::string text() const;
};

} // namespace masticwinch
