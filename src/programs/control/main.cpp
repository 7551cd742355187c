#include "masticwinch/control/control_daemon.hpp"
#include "masticwinch/programs/command_line.hpp"

#include <cstdio>
#include <exception>

namespace {

constexpr const char *Usage =
    "masticwinch-control keeps the cell's replicated state on one control VM.\n"
    "\n"
    "  masticwinch-control --settings FILE\n"
    "  masticwinch-control --settings FILE --check_settings\n"
    "\n"
    "SIGTERM stops it in order; a second signal ends it at once.\n"
    "docs/settings.md describes the settings file.";

masticwinch::ExitCode
run(const masticwinch::control::ControlSettings &settings) {
  try {
    return masticwinch::control::ControlDaemon(settings).run();
  } catch (const std::exception &error) {
    std::fprintf(stderr, "%s\n", error.what());
    return masticwinch::ExitCode::Failure;
  }
}

} // namespace

int main(int argc, char **argv) {
  return masticwinch::runDaemon(argc, argv, Usage,
                                masticwinch::control::loadControlSettings, run);
}
