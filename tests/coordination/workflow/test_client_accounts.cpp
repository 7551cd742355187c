#include "masticwinch/coordination/workflow/client_accounts.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"
#include <initializer_list>

using namespace masticwinch;
using namespace masticwinch::workflow;
using tests::acceptOf;
using tests::configOf;
using tests::specOf;
using tests::stepOf;

namespace {

void addAccount(protocol::CellConfig &config, const std::string &name,
                std::initializer_list<std::string> keys) {
  config.set_accounts_declared(true);
  protocol::ClientAccount *account = config.add_accounts();
  account->set_name(name);
  for (const std::string &it : keys) {
    account->add_keys(it);
  }
}

protocol::WorkflowChange configureOf(const protocol::CellConfig &config) {
  protocol::WorkflowChange change;
  *change.mutable_configure() = config;
  return change;
}

} // namespace

// Guards against a key that identifies the wrong account, or any account
// without having been configured.
TEST_CASE("Each key finds its account and no other does", "[workflow]") {
  protocol::CellConfig config = configOf(1);
  addAccount(config, "north", {"key-1", "key-2"});
  addAccount(config, "south", {"key-3"});
  const ClientAccounts accounts(config);
  CHECK(accounts.areDeclared());
  CHECK(accounts.findByKey("key-2")->name() == "north");
  CHECK(accounts.findByKey("key-3")->name() == "south");
  CHECK(accounts.findByKey("key") == nullptr);
  CHECK(accounts.findByKey("") == nullptr);
  CHECK(accounts.find("south") == accounts.findByKey("key-3"));
}

// Guards against cells that have no list of accounts asking for keys.
TEST_CASE("Without a list of accounts no queue needs a key", "[workflow]") {
  protocol::CellConfig config = configOf(1);
  CHECK_FALSE(needsKey(config, config.queues(0)));
  config.set_accounts_declared(true);
  CHECK(needsKey(config, config.queues(0)));
  config.mutable_queues(0)->set_public_access(true);
  CHECK_FALSE(needsKey(config, config.queues(0)));
}

// Guards against a call that may belong to two accounts, and against an error
// message that shows a key.
TEST_CASE("Accounts with a common key or name are invalid", "[workflow]") {
  protocol::CellConfig shared = configOf(1);
  addAccount(shared, "north", {"secret-1", "secret-2"});
  addAccount(shared, "south", {"secret-2"});
  CHECK(validationError(shared) ==
        "client accounts north and south share a key");
  protocol::CellConfig twice = configOf(1);
  addAccount(twice, "north", {"secret-1"});
  addAccount(twice, "north", {"secret-2"});
  CHECK(validationError(twice) == "there are two client accounts north");
  protocol::CellConfig empty = configOf(1);
  addAccount(empty, "north", {""});
  CHECK(validationError(empty) == "client account north has an empty key");
  protocol::CellConfig nameless = configOf(1);
  addAccount(nameless, "", {"secret-1"});
  CHECK(validationError(nameless) == "a client account has no name");
  protocol::CellConfig valid = configOf(1);
  addAccount(valid, "north", {"secret-1", "secret-2"});
  addAccount(valid, "south", {});
  CHECK_FALSE(validationError(valid));
}

// Guards against limits that end with the account while its work goes on, and
// against keys that outlive it.
TEST_CASE("A dropped account keeps its limits and loses its keys while it has "
          "open work",
          "[workflow]") {
  WorkflowState state;
  protocol::CellConfig config = configOf(1);
  addAccount(config, "north", {"key-1"});
  config.mutable_accounts(0)->mutable_cap()->set_milli_processors(2000);
  state.apply(configureOf(config));
  protocol::WorkflowChange accept =
      acceptOf(specOf("0123456789abcdef", {stepOf(1)}));
  accept.mutable_accept()->set_account("north");
  state.apply(accept);
  config.clear_accounts();
  config.set_version(2);
  state.apply(configureOf(config));
  CHECK(state.accounts().findByKey("key-1") == nullptr);
  REQUIRE(state.findAccount("north"));
  CHECK(state.findAccount("north")->cap().milli_processors() == 2000);
  CHECK(state.findAccount("north")->keys().empty());

  // The same after an emptied VM has received a snapshot.
  WorkflowState restored;
  restored.restore(state.snapshot());
  REQUIRE(restored.findAccount("north"));
  CHECK(restored.find("0123456789abcdef")->Account == "north");

  state.apply(tests::cancelOf("0123456789abcdef"));
  config.set_version(3);
  state.apply(configureOf(config));
  CHECK(state.findAccount("north") == nullptr);
}

// Guards against a build that can't read what an older one has stored.
TEST_CASE("A snapshot without accounts restores a cell without accounts",
          "[workflow]") {
  WorkflowState older;
  older.apply(configureOf(configOf(3)));
  older.apply(acceptOf(specOf("0123456789abcdef", {stepOf(1)})));
  WorkflowState restored;
  restored.restore(older.snapshot());
  CHECK_FALSE(restored.accounts().areDeclared());
  CHECK(restored.find("0123456789abcdef")->Account.empty());
}
