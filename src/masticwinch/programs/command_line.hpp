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

/// What the command line of a daemon asks for.
struct DaemonCommandLine {
  /// Settings file to run with.
  std::string SettingsFile;
  /// Only check the settings.
  bool CheckSettings = false;
};

/// Reads the command line of a daemon: `--settings FILE`, `--check_settings`,
/// `--help` and `--version`. Prints help or version and returns the exit code
/// where that was asked for or the command line is wrong.
std::optional<ExitCode> readCommandLine(int argc, char **argv,
                                        const std::string &usage,
                                        DaemonCommandLine &commandLine);

/// Prints the problems of settings to standard error.
ExitCode reportSettingsProblems(const SettingsError &error);

/// The main function of a daemon: reads the command line and the settings, and
/// runs unless only a check was asked for. `read` takes a file name and returns
/// the settings; `run` takes them and returns the exit code.
template <class Read, class Run>
int runDaemon(int argc, char **argv, const std::string &usage, Read read,
              Run run) {
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
