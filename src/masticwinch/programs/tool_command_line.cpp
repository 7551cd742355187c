#include "masticwinch/programs/tool_command_line.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace masticwinch {

namespace {

void printHelp(const std::string &usage, const std::string &flagFiles) {
  std::string text = usage + "\nFlags:\n";
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo &it : flags) {
    if (it.filename.find(flagFiles) != std::string::npos) {
      const std::string defaultText =
          it.default_value.empty() ? "" : " (default " + it.default_value + ")";
      text +=
          fmt::format("  --{}: {}{}\n", it.name, it.description, defaultText);
    }
  }
  std::fputs(text.c_str(), stdout);
}

} // namespace

void parseCommandLine(const std::string &usage, const std::string &flagFiles,
                      int &argc, char **&argv) {
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(MASTICWINCH_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    printHelp(usage, flagFiles);
    std::exit(EXIT_SUCCESS);
  }
  gflags::HandleCommandLineHelpFlags();
}

int reportFailure(const std::string &reason) {
  std::fprintf(stderr, "%s\n", reason.c_str());
  return EXIT_FAILURE;
}

} // namespace masticwinch
