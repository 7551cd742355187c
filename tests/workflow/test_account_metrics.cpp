#include "masticwinch/workflow/account_metrics.hpp"
#include "masticwinch/workflow/accounts_page.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

AccountLoad loadOf(const std::string &name, std::size_t waiting) {
  AccountLoad load;
  load.Name = name;
  load.WaitingTasks = waiting;
  return load;
}

} // namespace

// Guards against series that grow with the number of accounts.
TEST_CASE("Accounts have a bounded number of metrics", "[workflow]") {
  MetricRegistry registry;
  AccountMetrics metrics(registry, [] { return true; });
  std::vector<AccountLoad> loads;
  for (std::size_t i = 0; i < AccountMetrics::MaxAccounts + 3; ++i) {
    const std::string name = "account-" + std::to_string(i);
    metrics.add({name, "accepted"});
    loads.push_back(loadOf(name, 2));
  }
  metrics.set(loads);
  const std::string text = registry.text();
  CHECK(text.find("masticwinch_account_submissions_total{account=\"account-0\","
                  "outcome=\"accepted\"} 1") != std::string::npos);
  CHECK(text.find("masticwinch_account_submissions_total{account=\"(others)\","
                  "outcome=\"accepted\"} 3") != std::string::npos);
  CHECK(text.find("masticwinch_account_tasks_waiting{account=\"(others)\"} "
                  "6") != std::string::npos);
}

// Guards against a VM that no longer leads and goes on showing what waited.
TEST_CASE("A VM that doesn't lead shows nothing waiting", "[workflow]") {
  MetricRegistry registry;
  bool leads = true;
  AccountMetrics metrics(registry, [&] { return leads; });
  const auto waiting = [&](const std::string &value) {
    return registry.text().find(
               "masticwinch_account_tasks_waiting{account=\"north\"} " +
               value) != std::string::npos;
  };
  metrics.set({loadOf("north", 5)});
  CHECK(waiting("5"));
  leads = false;
  CHECK(waiting("0"));
  leads = true;
  metrics.set({});
  CHECK(waiting("0"));
}

TEST_CASE("The page of accounts is JSON with each account's figures",
          "[workflow]") {
  AccountLoad north = loadOf("north \xff", 5);
  north.WeightPermille = 1500;
  north.Counts.Accepted = 3;
  north.Counts.Refused[static_cast<std::size_t>(AccountRefusal::WouldEndLate)] =
      2;
  const HttpResponse page = accountsPage("control-1", {north});
  const nlohmann::json json = nlohmann::json::parse(page.Body);
  CHECK(json["leader"] == "control-1");
  const nlohmann::json &account = json["accounts"][0];
  CHECK(account["tasks_waiting"] == 5);
  CHECK(account["weight"] == 1.5);
  CHECK(account["submitted"] == 5);
  CHECK(account["refused"]["would_end_late"] == 2);
  CHECK(account["fair_share"].is_null());
}

TEST_CASE("A VM that doesn't lead answers 503 and names the leader",
          "[workflow]") {
  const HttpResponse response = accountsNotLeading("control-2");
  CHECK(response.Status == 503);
  CHECK(response.Body.find("control-2") != std::string::npos);
}
