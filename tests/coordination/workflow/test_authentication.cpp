#include <catch2/catch.hpp>

#include "tests/coordination/workflow/keyed_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr auto Ok = protocol::VERDICT_OK;
constexpr auto Unauthenticated = protocol::VERDICT_UNAUTHENTICATED;
constexpr auto NotAnswered = protocol::WORKFLOW_VERDICT_UNSPECIFIED;

using Fields = std::vector<std::pair<std::string, std::string>>;

bool contains(const Fields &fields, const std::string &name,
              const std::string &value) {
  return std::find(fields.begin(), fields.end(), std::pair(name, value)) !=
         fields.end();
}

/// The accounts, without the keys of the one with this name.
protocol::CellConfig withoutKeysOf(const std::string &name,
                                   std::uint64_t version) {
  protocol::CellConfig config = keyedConfig(version);
  for (protocol::ClientAccount &it : *config.mutable_accounts()) {
    if (it.name() == name) {
      it.clear_keys();
    }
  }
  return config;
}

} // namespace

// Guards against work that runs for a caller without a known key.
TEST_CASE("A call without a known key is refused and nothing is stored",
          "[workflow]") {
  KeyedCell cell;
  for (const char *key : {"", "north", "north-1 ", "NORTH-1", "north-11"}) {
    CAPTURE(key);
    CHECK(cell.submit(key, First)->verdict() == Unauthenticated);
    CHECK(cell.state(key, First)->verdict() == Unauthenticated);
    CHECK(cell.state(key, "")->verdict() == Unauthenticated);
    CHECK(cell.cancel(key, First)->verdict() == Unauthenticated);
  }
  CHECK(cell.Proposed.empty());
  CHECK(cell.State.workflows().empty());
}

TEST_CASE("A submission with a known key is accepted for its account",
          "[workflow]") {
  KeyedCell cell;
  const auto answer = cell.submit("north-2", First);
  CHECK(answer->verdict() == NotAnswered);
  cell.store();
  CHECK(answer->verdict() == Ok);
  CHECK(cell.State.find(First)->Account == "north");
}

// Guards against 401 for an address that does not exist, which would tell
// callers to look for a key instead of for their mistake.
TEST_CASE("An unknown queue is reported before the key is checked",
          "[workflow]") {
  KeyedCell cell;
  CHECK(cell.submit("", First, "/none/")->verdict() ==
        protocol::VERDICT_NO_QUEUE);
}

TEST_CASE("Every answer states whether the queue needs a key", "[workflow]") {
  KeyedCell cell;
  CHECK(cell.submit("", First)->route().key_required());
  CHECK(cell.state("north-1", First)->route().key_required());
  const auto open = cell.state("", First, "/notes/");
  REQUIRE(open->has_route());
  CHECK_FALSE(open->route().key_required());
}

TEST_CASE("On a public queue a known key names the account and an unknown one "
          "is ignored",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("", First, "/notes/");
  cell.submit("unknown", Second, "/notes/");
  cell.submit("south-1", Third, "/notes/");
  cell.store();
  CHECK(cell.State.find(First)->Account.empty());
  CHECK(cell.State.find(Second)->Account.empty());
  CHECK(cell.State.find(Third)->Account == "south");
  CHECK(cell.state("", Third, "/notes/")->verdict() ==
        protocol::VERDICT_NO_WORKFLOW);
  CHECK(cell.state("south-1", Third, "/notes/")->verdict() == Ok);
}

TEST_CASE("A cell without accounts needs no keys", "[workflow]") {
  KeyedCell cell(configOf(1));
  for (const char *key : {"", "north-1"}) {
    const std::string id = *key == 0 ? First : Second;
    const auto answer = cell.submit(key, id);
    cell.store();
    CHECK(answer->verdict() == Ok);
    CHECK_FALSE(answer->route().key_required());
    CHECK(cell.State.find(id)->Account.empty());
    CHECK(cell.state("other", id)->verdict() == Ok);
  }
}

// An empty list is a list: it must not open the cell to everybody.
TEST_CASE("A cell with an empty list of accounts serves no call that needs a "
          "key",
          "[workflow]") {
  protocol::CellConfig config = configOf(1);
  config.set_accounts_declared(true);
  KeyedCell cell(config);
  CHECK(cell.submit("", First)->verdict() == Unauthenticated);
}

// Guards against a configuration that takes effect before it is stored, or
// that does not take effect when it is.
TEST_CASE("A key is removed and restored when the configuration is stored, not "
          "when it is proposed",
          "[workflow]") {
  KeyedCell cell;
  cell.configure(withoutKeysOf("north", 2));
  CHECK(cell.state("north-1", First)->verdict() ==
        protocol::VERDICT_NO_WORKFLOW);
  cell.store();
  CHECK(cell.state("north-1", First)->verdict() == Unauthenticated);
  CHECK(cell.submit("north-1", First)->verdict() == Unauthenticated);
  cell.configure(keyedConfig(3));
  CHECK(cell.state("north-1", First)->verdict() == Unauthenticated);
  cell.store();
  const auto answer = cell.submit("north-1", First);
  cell.store();
  CHECK(answer->verdict() == Ok);
}

TEST_CASE("Configurations in quick succession that remove and restore a key "
          "leave it valid",
          "[workflow]") {
  KeyedCell cell;
  cell.configure(withoutKeysOf("north", 2));
  cell.configure(keyedConfig(3));
  cell.configure(withoutKeysOf("north", 2));
  cell.store();
  CHECK(cell.state("north-1", First)->verdict() ==
        protocol::VERDICT_NO_WORKFLOW);
}

// Guards against a key that still identifies its former account.
TEST_CASE("A key that moves between accounts in two changes identifies only "
          "its account of the time",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("south-1", First);
  cell.store();
  protocol::CellConfig removed = configOf(2);
  addAccount(removed, "north", {"north-1"});
  addAccount(removed, "south", {"south-2"});
  cell.configure(removed);
  cell.store();
  CHECK(cell.state("south-1", First)->verdict() == Unauthenticated);
  protocol::CellConfig moved = configOf(3);
  addAccount(moved, "north", {"south-1"});
  addAccount(moved, "south", {"north-1"});
  cell.configure(moved);
  cell.store();
  CHECK(cell.state("south-1", First)->verdict() ==
        protocol::VERDICT_NO_WORKFLOW);
  CHECK(cell.state("north-1", First)->verdict() == Ok);
  cell.submit("south-1", Second);
  cell.store();
  CHECK(cell.State.find(Second)->Account == "north");
}

// It was sent before the removal was acknowledged, and is told that it runs.
TEST_CASE("A submission that is being stored while its key is removed is "
          "accepted",
          "[workflow]") {
  KeyedCell cell;
  const auto answer = cell.submit("north-1", First);
  cell.configure(withoutKeysOf("north", 2));
  cell.store();
  CHECK(answer->verdict() == Ok);
  CHECK(cell.State.find(First)->Account == "north");
  CHECK(cell.submit("north-1", First)->verdict() == Unauthenticated);
  CHECK(cell.State.find(First)->CurrentPhase != Phase::Cancelled);
}

TEST_CASE("The account is logged with decisions on submissions and a key never "
          "is",
          "[workflow]") {
  KeyedCell cell;
  cell.submit("north-1", First);
  cell.Leader->setLogRefusal("full");
  cell.submit("south-1", Second);
  cell.submit("unknown-key", Second);
  cell.pass(Milliseconds(1100));
  CHECK(contains(cell.latest(WorkflowEventKind::WorkflowAccepted), "account",
                 "north"));
  CHECK(contains(cell.latest(WorkflowEventKind::WorkflowRefused), "account",
                 "south"));
  for (const WorkflowEvent &event : cell.Events) {
    for (const auto &[name, value] : event.Fields) {
      CHECK(value.find("north-1") == std::string::npos);
      CHECK(value.find("south-1") == std::string::npos);
      CHECK(value.find("unknown-key") == std::string::npos);
    }
  }
}

// Guards against a log that a stream of wrong keys floods.
TEST_CASE("Refused authentications are reported once a second by queue",
          "[workflow]") {
  KeyedCell cell;
  cell.pass(Milliseconds(1));
  for (int i = 0; i < 100; ++i) {
    cell.submit("wrong", First);
    cell.submit("", First);
    cell.pass(Milliseconds(1));
  }
  const auto countEvents = [&] {
    return std::count_if(
        cell.Events.begin(), cell.Events.end(), [](const WorkflowEvent &it) {
          return it.Kind == WorkflowEventKind::CallsUnauthenticated;
        });
  };
  CHECK(countEvents() == 0);
  cell.pass(Milliseconds(1000));
  CHECK(countEvents() == 1);
  const Fields report = cell.latest(WorkflowEventKind::CallsUnauthenticated);
  CHECK(contains(report, "unknown_key", "100"));
  CHECK(contains(report, "without_key", "100"));
  cell.pass(Milliseconds(1100));
  CHECK(countEvents() == 1);
}
