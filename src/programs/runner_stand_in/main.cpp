#include "masticwinch/programs/command_line.hpp"
#include "masticwinch/stand_in/runner_settings.hpp"
#include "masticwinch/stand_in/runner_stand_in.hpp"
#include "masticwinch/stand_in/stand_in_process.hpp"

namespace {

constexpr const char *Usage = R"(stands in for an upstream, in tests.

Serves HTTP on /listen, announces itself at the entry VMs, and appends one line
to its executions file for each request that it runs. A request chooses what
happens to it by a header:

  Stand-In-Behavior: delay=MS,fail=STATUS,size=BYTES,hang,truncate,refuse,busy

GET /stand-in/stats on /operators tells how many requests and connections it had
at once; POST /stand-in/leave there makes it leave without exiting. SIGTERM makes
it leave, finish its requests and exit; a second one exits at once.

Settings, as JSON:
  {"name": "runner-1", "service": "prices", "data_center": "dc-1",
   "rack": "rack-1", "listen": {"port": 8101}, "operators": {"port": 8102},
   "entries": [{"url": "http://127.0.0.1:8080"}],
   "executions_file": "runner-1.executions", "events_file": "runner-1.events"}

Usage: masticwinch-runner-stand-in --settings FILE)";

} // namespace

int main(int argc, char **argv) {
  using namespace masticwinch;
  return runDaemon(argc, argv, Usage, &readRunnerSettings,
                   &runStandIn<RunnerStandIn, RunnerSettings>);
}
