#include "masticwinch/programs/command_line.hpp"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(settings, "", "JSON file with the settings of this process");
DEFINE_bool(check_settings, false,
            "check the settings, list every problem and exit: 0 if there is "
            "none, else 2");

namespace masticwinch {

namespace {

bool isFlagTrue(const char *flag) {
  std::string value;
  return gflags::GetCommandLineOption(flag, &value) && value == "true";
}

} // namespace

std::optional<ExitCode> readCommandLine(int argc, char **argv,
                                        const std::string &usage,
                                        DaemonCommandLine &commandLine) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(MASTICWINCH_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (isFlagTrue("help") || isFlagTrue("helpshort")) {
    gflags::ShowUsageWithFlagsRestrict(argv[0], "command_line");
    return ExitCode::Success;
  }
  if (isFlagTrue("version")) {
    std::printf("%s %s\n", gflags::ProgramInvocationShortName(),
                gflags::VersionString());
    return ExitCode::Success;
  }
  if (argc > 1) {
    std::fprintf(stderr, "unknown argument %s; see --help\n", argv[1]);
    return ExitCode::BadSettings;
  }
  if (FLAGS_settings.empty()) {
    std::fprintf(stderr, "--settings FILE is required; see --help\n");
    return ExitCode::BadSettings;
  }
  commandLine = {FLAGS_settings, FLAGS_check_settings};
  return std::nullopt;
}

ExitCode reportSettingsProblems(const SettingsError &error) {
  std::fputs(error.text().c_str(), stderr);
  return ExitCode::BadSettings;
}

} // namespace masticwinch
