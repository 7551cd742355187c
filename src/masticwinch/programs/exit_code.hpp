#pragma once

namespace masticwinch {

/// Exit codes of the project's programs.
enum class ExitCode {
  Success = 0,
  Failure = 1,
  /// The settings or the command line are invalid.
  BadSettings = 2,
};

} // namespace masticwinch
