#include "masticwinch/ctl/ctl_command.hpp"
#include "masticwinch/operators/request_id.hpp"
#include "masticwinch/programs/tool_command_line.hpp"

#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(servers, "",
              "operators' URLs of daemons, with commas between; the first that "
              "answers counts (environment: MASTICWINCH_SERVERS)");
DEFINE_string(metrics, "",
              "metrics URLs of control VMs for account commands, with commas "
              "between; the leader's answer counts (environment: "
              "MASTICWINCH_METRICS)");
DEFINE_bool(json, false, "print accounts as JSON");
DEFINE_string(operator, "",
              "name that changes are recorded under (environment: USER)");
DEFINE_string(request_id, "",
              "id of the change; send an unknown one again with the same id");
DEFINE_int64(expect_version, -1,
             "version that the change is based on; -1 takes any");
DEFINE_bool(wait, false, "wait until the change is in force on every entry VM");
DEFINE_int32(timeout_ms, 10'000, "limit for --wait, milliseconds");

namespace masticwinch {

namespace {

std::string flagOrEnvironment(const std::string &flag, const char *variable) {
  const char *value = std::getenv(variable);
  return flag.empty() && value != nullptr ? value : flag;
}

std::vector<std::string> splitServers(const std::string &text) {
  std::vector<std::string> servers;
  std::istringstream in(text);
  for (std::string it; std::getline(in, it, ',');) {
    servers.push_back(it);
  }
  return servers;
}

int usageError(const std::string &message) {
  std::fprintf(stderr, "%s; see --help\n", message.c_str());
  return static_cast<int>(ctl::CtlExit::Usage);
}

ctl::CellConnectionOptions connectionOptions(const ctl::CtlCommand &command) {
  ctl::CellConnectionOptions options;
  options.Servers = splitServers(
      command.ReadsMetrics
          ? flagOrEnvironment(FLAGS_metrics, "MASTICWINCH_METRICS")
          : flagOrEnvironment(FLAGS_servers, "MASTICWINCH_SERVERS"));
  options.Operator = flagOrEnvironment(FLAGS_operator, "USER");
  options.RequestId = FLAGS_request_id.empty() ? operators::randomRequestId()
                                               : FLAGS_request_id;
  return options;
}

ctl::CtlFlags ctlFlags() {
  ctl::CtlFlags flags;
  if (FLAGS_expect_version >= 0) {
    flags.ExpectVersion = static_cast<std::uint64_t>(FLAGS_expect_version);
  }
  flags.Json = FLAGS_json;
  flags.Wait = FLAGS_wait;
  flags.WaitTimeout = Milliseconds(FLAGS_timeout_ms);
  return flags;
}

int run(const std::vector<std::string> &words) {
  ctl::CtlArguments arguments;
  const ctl::CtlCommand *command = ctl::findCommand(words, arguments);
  if (command == nullptr) {
    return usageError("no such command, or a wrong number of arguments");
  }
  const ctl::CellConnectionOptions options = connectionOptions(*command);
  if (options.Servers.empty()) {
    return usageError(command->ReadsMetrics ? "--metrics is required"
                                            : "--servers is required");
  }
  ctl::CellConnection connection(options);
  const ctl::CtlExit exit =
      ctl::runCommand(*command, arguments, ctlFlags(), connection);
  if (exit == ctl::CtlExit::Unknown && !command->ReadsMetrics) {
    std::fprintf(stderr, "send it again with --request_id %s\n",
                 options.RequestId.c_str());
  }
  return static_cast<int>(exit);
}

} // namespace

} // namespace masticwinch

int main(int argc, char **argv) {
  using namespace masticwinch;
  parseCommandLine(ctl::ctlUsage(), "programs/ctl", argc, argv);
  try {
    return run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception &error) {
    return usageError(error.what());
  }
}
