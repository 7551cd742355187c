#include "masticwinch/programs/command_line.hpp"
#include "masticwinch/stand_in/stand_in_process.hpp"
#include "masticwinch/stand_in/worker_settings.hpp"
#include "masticwinch/stand_in/worker_stand_in.hpp"

namespace {

constexpr const char *Usage =
    R"(stands in for the platform's agent on a worker VM, in tests.

Announces itself at the entry VMs, takes tasks by PUT /v1/lease on /listen, runs
them by waiting, and appends one line to its tasks file for each start and stop.
When the lease runs out it stops all tasks. A task's payload chooses what the
task does:

  {"run_ms": 500, "fail": false, "stop_ms": 0, "use_memory_mib": 900}

GET /stand-in/stats on /operators tells what runs. SIGTERM stops all tasks.

Settings, as JSON:
  {"name": "worker-1", "data_center": "dc-1", "rack": "rack-1",
   "milli_processors": 32000, "memory_mib": 131072, "accelerators": 0,
   "listen": {"port": 8201}, "operators": {"port": 8202},
   "entries": [{"url": "http://127.0.0.1:8080"}],
   "tasks_file": "worker-1.tasks", "events_file": "worker-1.events",
   "behavior": {"fail_all": false, "start_delay_ms": 0, "usage_percent": 100,
                "usage_lag_ms": 1000}}

Usage: masticwinch-worker-stand-in --settings FILE)";

} // namespace

int main(int argc, char **argv) {
  using namespace masticwinch;
  return runDaemon(argc, argv, Usage, &readWorkerSettings,
                   &runStandIn<WorkerStandIn, WorkerSettings>);
}
