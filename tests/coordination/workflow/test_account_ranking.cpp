#include <catch2/catch.hpp>

#include "tests/coordination/workflow/answered_cell.hpp"
#include <algorithm>
#include <set>
#include <string>

using namespace masticwinch;
using namespace masticwinch::workflow;
using namespace masticwinch::tests;

namespace {

const std::string Occupying = "0000000000000001";
const std::string Early = "0000000000000002";
const std::string Late = "0000000000000003";
const std::string TooLarge = "0000000000000004";

/// One runner, and accounts "first" of priority 0 and "second" of priority 1.
struct AccountCell : AnsweredCell {
  explicit AccountCell(bool accounts, std::uint32_t secondPriority = 1)
      : AnsweredCell(1) {
    protocol::CellConfig config = configOf(2);
    config.mutable_queues(0)->set_latency_target_ms(60'000);
    if (accounts) {
      config.set_accounts_declared(true);
      add(config, "first", 0);
      add(config, "second", secondPriority);
    }
    Leader.configure(
        config, [] {}, Now);
    advance(Milliseconds(60));
  }

  static void add(protocol::CellConfig &config, const std::string &name,
                  std::uint32_t priority) {
    protocol::ClientAccount *account = config.add_accounts();
    account->set_name(name);
    account->add_keys("secret of " + name);
    account->set_priority(priority);
    account->set_weight_permille(2000);
    account->mutable_cap()->set_milli_processors(64'000);
  }

  /// Submits a workflow of one task that takes the whole runner.
  void submitFor(const std::string &account, const std::string &id,
                 std::uint32_t milliProcessors = 32'000) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    call.set_api_key("secret of " + account);
    protocol::StepSpec step = stepOf(1);
    step.mutable_needs()->set_milli_processors(milliProcessors);
    *call.mutable_submit() = specOf(id, {step});
    Leader.call(
        call, [](const protocol::WorkflowAnswer &) {}, Now);
    advance(Milliseconds(60));
  }

  /// Ends what runs, so that the next workflow starts.
  void next() {
    endRunsOn("i-0");
    advance(Milliseconds(1500));
  }

  AccountLoad loadOf(const std::string &name) const {
    const auto loads = Leader.accountLoads(Now.Now);
    const auto it =
        std::find_if(loads.begin(), loads.end(), [&](const AccountLoad &load) {
          return load.Name == name;
        });
    REQUIRE(it != loads.end());
    return *it;
  }
};

} // namespace

// Guards against an account's priority without effect while capacity is short.
TEST_CASE("While capacity is short the account of the earlier priority goes "
          "first",
          "[workflow]") {
  AccountCell cell(true);
  cell.submitFor("first", Occupying);
  cell.submitFor("second", Early);
  cell.submitFor("first", Late);
  cell.next();
  CHECK(cell.startsOf(Late) == 1);
  CHECK(cell.startsOf(Early) == 0);
}

// Guards against an account that has used the pool going first again.
TEST_CASE("While capacity is short the account below its share goes first",
          "[workflow]") {
  AccountCell cell(true, 0);
  cell.submitFor("first", Occupying);
  cell.advance(Milliseconds(6000));
  cell.submitFor("first", Early);
  cell.submitFor("second", Late);
  cell.next();
  CHECK(cell.startsOf(Late) == 1);
  CHECK(cell.startsOf(Early) == 0);
}

// Guards against another order in cells whose configuration has no accounts.
TEST_CASE("Without accounts the step with the least time left goes first",
          "[workflow]") {
  AccountCell cell(false);
  cell.submitFor("first", Occupying);
  cell.submitFor("second", Early);
  cell.submitFor("first", Late);
  cell.next();
  CHECK(cell.startsOf(Early) == 1);
  CHECK(cell.startsOf(Late) == 0);
  CHECK(std::none_of(cell.Events.begin(), cell.Events.end(),
                     [](const WorkflowEvent &it) {
                       return it.Kind == WorkflowEventKind::AccountLoad;
                     }));
}

// Guards against a report that doesn't show why an account's work waits.
TEST_CASE("The leader states what each account has running and waiting",
          "[workflow]") {
  AccountCell cell(true);
  cell.submitFor("first", Occupying);
  cell.submitFor("second", Early);
  cell.submitFor("second", TooLarge, 64'000);
  cell.advance(Milliseconds(2000));
  const AccountLoad first = cell.loadOf("first");
  CHECK(first.RunningTasks == 1);
  CHECK(first.Running.MilliProcessors == 32'000);
  CHECK(first.Cap.MilliProcessors == 64'000);
  CHECK(first.WeightPermille == 2000);
  CHECK(first.UsedShare > 0.2);
  const AccountLoad second = cell.loadOf("second");
  CHECK(second.WaitingTasks == 1);
  CHECK(second.LongestWait >= Milliseconds(2000));
  CHECK(second.FairShare == Approx(0.5));
  CHECK(second.Counts.Accepted == 1);
  CHECK(second.Counts
            .Refused[static_cast<std::size_t>(AccountRefusal::DoesNotFit)] ==
        1);
  cell.next();
  CHECK(cell.loadOf("first").Counts.ended(OutcomeKind::OnTime) == 1);
}

// Guards against keys in the log, and against reports whose number grows with
// the accounts.
TEST_CASE("The accounts are reported in few lines and without keys",
          "[workflow]") {
  AccountCell cell(true);
  cell.submitFor("first", Occupying);
  cell.submitFor("second", TooLarge, 64'000);
  cell.Events.clear();
  cell.advance(Milliseconds(3000));
  std::set<std::string> reported;
  std::size_t lines = 0;
  cell.submitFor("second", TooLarge, 64'000);
  bool namesAccount = false;
  for (const WorkflowEvent &event : cell.Events) {
    for (const auto &[key, value] : event.Fields) {
      CHECK(value.find("secret") == std::string::npos);
      if (event.Kind == WorkflowEventKind::AccountLoad && key == "account") {
        reported.insert(value);
        ++lines;
      }
      namesAccount =
          namesAccount || (event.Kind == WorkflowEventKind::WorkflowRefused &&
                           key == "account" && value == "second");
    }
  }
  CHECK(reported == std::set<std::string>{"first", "second"});
  CHECK(lines <= 4 * WorkflowLeaderOptions().AccountsPerReport);
  CHECK(isReport(WorkflowEventKind::AccountLoad));
  CHECK(namesAccount);
}
