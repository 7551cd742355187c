#include "masticwinch/ctl/account_output.hpp"
#include "masticwinch/ctl/ctl_command.hpp"
#include "masticwinch/workflow/accounts_page.hpp"
#include "masticwinch/workflow/metrics_endpoint.hpp"

#include <asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>
#include <thread>

using namespace masticwinch;
using namespace masticwinch::ctl;
using workflow::AccountLoad;

namespace {

std::vector<AccountLoad> loads() {
  AccountLoad small;
  small.Name = "small";
  small.UsedShare = 0.1;
  small.Counts.Accepted = 7;
  small.Counts.Refused[static_cast<std::size_t>(
      workflow::AccountRefusal::WouldEndLate)] = 3;
  AccountLoad large;
  large.Name = "large";
  large.UsedShare = 0.6;
  large.FairShare = 0.5;
  large.Cap.MilliProcessors = 64'000;
  return {small, large};
}

nlohmann::json page() {
  return nlohmann::json::parse(
      workflow::accountsPage("control-1", loads()).Body);
}

/// The metrics endpoint of a control VM that leads, or doesn't.
class ControlVm {
public:
  explicit ControlVm(bool leads)
      : Endpoint({"127.0.0.1", 0, 1}, Context, Registry, [leads] {
          return leads ? workflow::accountsPage("control-1", loads())
                       : workflow::accountsNotLeading("control-1");
        }) {
    Endpoint.start();
    Thread = std::thread([this] { Context.run(); });
  }
  ~ControlVm() {
    Endpoint.stop();
    Context.stop();
    Thread.join();
  }
  ControlVm(const ControlVm &) = delete;
  ControlVm &operator=(const ControlVm &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Endpoint.port());
  }

private:
  MetricRegistry Registry;
  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  workflow::MetricsEndpoint Endpoint;
  std::thread Thread;
};

CtlExit run(const std::vector<std::string> &words,
            const std::vector<std::string> &servers) {
  CtlArguments arguments;
  const CtlCommand *command = findCommand(words, arguments);
  REQUIRE(command != nullptr);
  CHECK(command->ReadsMetrics);
  CellConnectionOptions options;
  options.Servers = servers;
  options.Timeout = Milliseconds(2000);
  CellConnection connection(options);
  return runCommand(*command, arguments, {}, connection);
}

const std::string Unreachable = "http://127.0.0.1:1";

} // namespace

TEST_CASE("The table of accounts has the largest use first", "[ctl]") {
  const std::string table = accountTable(page());
  CHECK(table.find("large") < table.find("small"));
  CHECK(table.find("60.0%") != std::string::npos);
}

TEST_CASE("An account is shown with its limit, share and refusals by reason",
          "[ctl]") {
  const std::string large = accountDetails(page(), "large").value();
  CHECK(large.find("64 cores, no limit of MB") != std::string::npos);
  CHECK(large.find("50.0%") != std::string::npos);
  const std::string small = accountDetails(page(), "small").value();
  CHECK(small.find("3 (would_end_late)") != std::string::npos);
  CHECK_FALSE(accountDetails(page(), "unknown").has_value());
}

// Guards against a crash on the answer of another version.
TEST_CASE("Fields that are missing or of another type are left out", "[ctl]") {
  const nlohmann::json odd{
      {"accounts", {{{"account", "odd"}, {"refused", 3}, {"cap", "x"}}, 5}}};
  CHECK(accountTable(odd).find("odd") != std::string::npos);
  CHECK(accountDetails(odd, "odd").has_value());
  CHECK(accountTable(nlohmann::json::object()).find("ACCOUNT") == 0);
}

// Guards against a command that fails since the first address is not the
// leader's, or is down.
TEST_CASE("Account commands take the leader's answer", "[ctl][http]") {
  const ControlVm follower(false);
  const ControlVm leader(true);
  CHECK(run({"account", "list"}, {Unreachable, follower.url(), leader.url()}) ==
        CtlExit::Success);
  CHECK(run({"account", "show", "small"}, {leader.url()}) == CtlExit::Success);
}

// Guards against exit codes that don't tell an unknown account from a cell
// without leader or an address that can't be reached.
TEST_CASE("Account commands tell their failures apart", "[ctl][http]") {
  const ControlVm follower(false);
  const ControlVm leader(true);
  CHECK(run({"account", "show", "unknown"}, {leader.url()}) ==
        CtlExit::Refused);
  CHECK(run({"account", "list"}, {follower.url(), Unreachable}) ==
        CtlExit::NoLeader);
  CHECK(run({"account", "list"}, {Unreachable}) == CtlExit::Unknown);
}
