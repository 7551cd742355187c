#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/programs/exit_code.hpp"
#include "masticwinch/programs/process_setup.hpp"
#include "masticwinch/settings/settings_error.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <functional>
#include <optional>
#include <string>

namespace masticwinch {

/// Parsed command line of a daemon.
struct DaemonCommandLine {
  /// Path of the settings file.
  std::string SettingsFile;
  /// Check the settings and exit.
  bool CheckSettings = false;
};

/// Parses the command line of a daemon: `--settings FILE`, `--check_settings`,
/// `--help` and `--version`. Returns an exit code if the process should end:
/// after printing the help or the version, or if the command line is invalid.
std::optional<ExitCode> readCommandLine(int argc, char **argv,
                                        const std::string &usage,
                                        DaemonCommandLine &commandLine);

/// Prints the problems of a settings file to standard error.
ExitCode reportSettingsProblems(const SettingsError &error);

/// Main function of a daemon: parses the command line, reads the settings and
/// runs the daemon unless `--check_settings` was given. `read` takes a file
/// name and returns the settings; `run` takes them and returns the exit code.
template <class Read, class Run>
int runDaemon(int argc, char **argv, const std::string &usage, const Read &read,
              const Run &run) {
  programs::prepareProcess();
  DaemonCommandLine commandLine;
  if (const auto code = readCommandLine(argc, argv, usage, commandLine)) {
    return static_cast<int>(*code);
  }
  const ExitCode code = boost::leaf::try_handle_all(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(settings, read(commandLine.SettingsFile));
        return commandLine.CheckSettings ? ExitCode::Success
                                         : run(std::move(settings));
      },
      [](const SettingsError &error) { return reportSettingsProblems(error); },
      [] { return ExitCode::Failure; });
  return static_cast<int>(code);
}

} // namespace masticwinch
