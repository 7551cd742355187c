#include "masticwinch/coordination/workflow/account_shares.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

const ResourceAmounts Capacity{100'000, 100'000, 0};
const ShareGroup Group{};

/// One pool whose accounts use stated parts of its processors.
struct MeasuredPool {
  void use(const std::map<std::string, double> &parts, Milliseconds time) {
    constexpr Milliseconds Step{20};
    PoolUse used{Capacity, {}};
    for (const auto &[account, part] : parts) {
      used.ByAccount[account] = {std::int64_t(part * 100'000), 0, 0};
    }
    Shares.observe("pool", used, Now);
    for (Milliseconds passed{0}; passed < time; passed += Step) {
      Now += Step;
      Shares.observe("pool", used, Now);
    }
  }

  void demand(const std::vector<std::pair<std::string, std::uint64_t>> &by) {
    std::vector<AccountDemand> demands;
    for (const auto &[account, weight] : by) {
      demands.push_back({Group, account, weight * 1000});
    }
    Shares.setDemand("pool", demands);
  }

  std::uint32_t above(const std::string &account) const {
    return Shares.aboveShare("pool", Group, account);
  }

  AccountShares Shares;
  SteadyTime Now{std::chrono::seconds(100)};
};

} // namespace

TEST_CASE("The dominant share is the largest of an account's shares",
          "[workflow]") {
  const ResourceAmounts capacity{1000, 1000, 10};
  CHECK(dominantShare({500, 100, 1}, capacity) == Approx(0.5));
  CHECK(dominantShare({100, 600, 1}, capacity) == Approx(0.6));
  CHECK(dominantShare({100, 100, 7}, capacity) == Approx(0.7));
  // A pool without accelerators has no share of them.
  CHECK(dominantShare({100, 0, 3}, {1000, 1000, 0}) == Approx(0.1));
}

// Guards against weights that have no effect.
TEST_CASE("An account is above its share by its weight", "[workflow]") {
  MeasuredPool pool;
  pool.use({{"large", 0.6}, {"small", 0.4}}, Milliseconds(20'000));
  pool.demand({{"large", 3}, {"small", 1}});
  CHECK(pool.above("large") == 0);
  CHECK(pool.above("small") > 0);
  CHECK(pool.Shares.fairShare("pool", "large") == Approx(0.75));
  pool.demand({{"large", 1}, {"small", 1}});
  CHECK(pool.above("large") > 0);
  CHECK(pool.above("small") == 0);
}

// Guards against an unused share that is withheld from the others.
TEST_CASE("Accounts without demand leave their share to the others",
          "[workflow]") {
  MeasuredPool pool;
  pool.use({{"busy", 1.0}}, Milliseconds(20'000));
  pool.demand({{"busy", 1}});
  CHECK(pool.above("busy") == 0);
}

// Guards against an account that is punished for a peak after it was quiet.
TEST_CASE("A short peak after a quiet time is not above the share",
          "[workflow]") {
  MeasuredPool pool;
  pool.use({{"steady", 0.5}}, Milliseconds(20'000));
  pool.use({{"steady", 0.1}, {"peak", 0.9}}, Milliseconds(1000));
  pool.demand({{"steady", 1}, {"peak", 1}});
  CHECK(pool.above("peak") == 0);
  // One that goes on is.
  pool.use({{"steady", 0.1}, {"peak", 0.9}}, Milliseconds(9000));
  pool.demand({{"steady", 1}, {"peak", 1}});
  CHECK(pool.above("peak") > 0);
}

TEST_CASE("Use decays by half in three seconds", "[workflow]") {
  MeasuredPool pool;
  pool.use({{"north", 0.8}}, Milliseconds(0));
  CHECK(pool.Shares.usedShare("pool", "north") == Approx(0.8));
  pool.use({}, Milliseconds(3000));
  CHECK(pool.Shares.usedShare("pool", "north") == Approx(0.4));
}

// Guards against two large accounts that rank alike while many small ones,
// whose demand lowers the fair share, have work waiting.
TEST_CASE("Of two accounts above their share the further one ranks later",
          "[workflow]") {
  MeasuredPool pool;
  pool.use({{"first", 0.6}, {"second", 0.35}}, Milliseconds(20'000));
  pool.demand({{"first", 1}, {"second", 1}, {"a", 1}, {"b", 1}, {"c", 1}});
  CHECK(pool.above("a") == 0);
  CHECK(pool.above("second") > 0);
  CHECK(pool.above("first") > pool.above("second"));
}

// Guards against work of a later priority, which waits for long, taking part
// in the division among accounts of an earlier one.
TEST_CASE("Accounts are compared within their priorities", "[workflow]") {
  MeasuredPool pool;
  pool.use({{"first", 0.6}, {"second", 0.4}}, Milliseconds(20'000));
  ShareGroup next = Group;
  next.QueuePriority = 1;
  pool.Shares.setDemand(
      "pool",
      {{Group, "first", 1000}, {Group, "second", 1000}, {next, "batch", 8000}});
  CHECK(pool.above("first") > 0);
  CHECK(pool.above("second") == 0);
  CHECK(pool.Shares.aboveShare("pool", next, "batch") == 0);
}

// Guards against memory that grows with every account that was ever served.
TEST_CASE("Accounts without use are forgotten and their number is bounded",
          "[workflow]") {
  MeasuredPool pool;
  std::map<std::string, double> many;
  for (std::size_t i = 0; i < AccountShares::MaxAccounts + 10; ++i) {
    many["account-" + std::to_string(i)] = 0.0001;
  }
  pool.use(many, Milliseconds(0));
  CHECK(pool.Shares.accountCount("pool") == AccountShares::MaxAccounts);
  pool.use({}, Milliseconds(60'000));
  CHECK(pool.Shares.accountCount("pool") == 0);
  pool.Shares.retain({});
  CHECK(pool.Shares.usedShare("pool", "account-1") == 0);
}
