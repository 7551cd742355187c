#include "masticwinch/coordination/workflow/account_tally.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

AccountLoad loadOf(const std::string &name, double used, double unserved = 0) {
  AccountLoad load;
  load.Name = name;
  load.UsedShare = used;
  load.UnservedShare = unserved;
  load.Counts.Accepted = 1;
  load.WaitingTasks = 2;
  return load;
}

} // namespace

// Guards against a refusal that can't be told from another one.
TEST_CASE("Submissions are counted by account and by reason", "[workflow]") {
  AccountTally tally;
  tally.accepted("north");
  tally.refused("north", AccountRefusal::WouldEndLate);
  tally.refused("north", AccountRefusal::OverRate);
  tally.ended("north", OutcomeKind::OnTime);
  AccountLoad north = loadOf("north", 0);
  tally.describe(north);
  CHECK(north.Counts.submitted() == 3);
  CHECK(north.Counts.refused() == 2);
  CHECK(north.Counts.ended(OutcomeKind::OnTime) == 1);
  CHECK(north.UnservedShare == Approx(2.0 / 3));
}

// Guards against memory that grows with each account that ever was.
TEST_CASE("The tally holds a bounded number of accounts and forgets dropped "
          "ones",
          "[workflow]") {
  AccountTally tally;
  for (std::size_t i = 0; i <= AccountTally::MaxAccounts; ++i) {
    tally.accepted("account-" + std::to_string(i));
  }
  CHECK(tally.size() == AccountTally::MaxAccounts);
  tally.age([](const std::string &it) { return it == "account-7"; });
  CHECK(tally.size() == 1);
}

// Guards against a report that grows with the number of accounts, and against
// one that leaves out an account that is served badly beside large ones.
TEST_CASE("A report has the largest accounts, those served worst, and the sum "
          "of the others",
          "[workflow]") {
  std::vector<AccountLoad> all;
  for (int i = 0; i < 100; ++i) {
    all.push_back(loadOf("account-" + std::to_string(100 + i), i / 1000.0));
  }
  all[3].UnservedShare = 1;
  const std::vector<AccountLoad> reported = selectReported(all);
  REQUIRE(reported.size() == 25);
  CHECK(reported.front().Name == "account-199");
  CHECK(reported[16].Name == "account-103");
  CHECK(reported.back().Name == OtherAccounts);
  CHECK(reported.back().Accounts == 76);
  std::uint64_t accepted = 0;
  std::size_t waiting = 0;
  for (const AccountLoad &it : reported) {
    accepted += it.Counts.Accepted;
    waiting += it.WaitingTasks;
  }
  CHECK(accepted == 100);
  CHECK(waiting == 200);
}

TEST_CASE("A report of few accounts names them all", "[workflow]") {
  const std::vector<AccountLoad> reported =
      selectReported({loadOf("small", 0.1), loadOf("large", 0.5)});
  REQUIRE(reported.size() == 2);
  CHECK(reported.front().Name == "large");
}

// Guards against an account that stays among the worst served for ever after
// one bad moment.
TEST_CASE("The unserved share follows what happened lately", "[workflow]") {
  AccountTally tally;
  const auto known = [](const std::string &) { return true; };
  for (int i = 0; i < 10; ++i) {
    tally.refused("north", AccountRefusal::WouldEndLate);
  }
  for (int second = 0; second < 60; ++second) {
    tally.ended("north", OutcomeKind::OnTime);
    tally.age(known);
  }
  AccountLoad north = loadOf("north", 0);
  tally.describe(north);
  CHECK(north.UnservedShare < 0.01);
  CHECK(north.Counts.refused() == 10);
}

TEST_CASE("A line of the report has the refusals by reason", "[workflow]") {
  AccountLoad load = loadOf("north", 0.25);
  load.Counts.Refused[static_cast<std::size_t>(AccountRefusal::OverRate)] = 4;
  const auto fields = reportFields(load);
  const auto has = [&](const std::string &key, const std::string &value) {
    return std::find(fields.begin(), fields.end(), std::pair(key, value)) !=
           fields.end();
  };
  CHECK(has("account", "north"));
  CHECK(has("refused_over_rate", "4"));
  CHECK(has("used_permille", "250"));
  CHECK(has("fair_permille", "none"));
}
