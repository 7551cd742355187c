#include "masticwinch/entry/entry_daemon.hpp"
#include "masticwinch/programs/command_line.hpp"

#include <cstdio>
#include <exception>

namespace {

constexpr const char *Usage =
    "masticwinch-entry takes callers' requests and upstreams' announcements on "
    "one\n"
    "entry VM.\n"
    "\n"
    "  masticwinch-entry --settings FILE\n"
    "  masticwinch-entry --settings FILE --check_settings\n"
    "\n"
    "SIGTERM stops it in order; a second signal ends it at once.\n"
    "docs/settings.md describes the settings file.";

masticwinch::ExitCode run(const masticwinch::entry::EntrySettings &settings) {
  try {
    return masticwinch::entry::EntryDaemon(settings).run();
  } catch (const std::exception &error) {
    std::fprintf(stderr, "%s\n", error.what());
    return masticwinch::ExitCode::Failure;
  }
}

} // namespace

int main(int argc, char **argv) {
  return masticwinch::runDaemon(argc, argv, Usage,
                                masticwinch::entry::loadEntrySettings, run);
}
