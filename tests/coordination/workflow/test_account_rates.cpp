#include "masticwinch/coordination/workflow/account_rates.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};
constexpr std::uint64_t FourPerSecond = 4000;

std::string idOf(int i) { return "job-" + std::to_string(i); }

/// Submits `count` new ids from `first` on; returns how many are within the
/// rate.
int withinRate(AccountRates &rates, int first, int count, SteadyTime now,
               std::uint64_t weight = FourPerSecond) {
  int within = 0;
  for (int i = first; i < first + count; ++i) {
    const RateClass it = rates.classify("desk", weight, idOf(i), now);
    within += it == RateClass::WithinRate ? 1 : 0;
  }
  return within;
}

} // namespace

TEST_CASE("An account has one second's worth of submissions at once, and its "
          "weight per second after that",
          "[workflow]") {
  AccountRates rates;
  CHECK(withinRate(rates, 0, 10, Start) == 4);
  CHECK(withinRate(rates, 10, 10, Start + Milliseconds(250)) == 1);
  CHECK(withinRate(rates, 20, 10, Start + Milliseconds(60'000)) == 4);
  // Another account has its own bucket.
  CHECK(rates.classify("other", FourPerSecond, "x", Start) ==
        RateClass::WithinRate);
}

TEST_CASE("Tokens are not lost to rounding", "[workflow]") {
  AccountRates rates;
  withinRate(rates, 0, 4, Start);
  int within = 0;
  for (int i = 0; i < 10'000; ++i) {
    within += withinRate(rates, 100 + i, 1,
                         Start + std::chrono::microseconds(999) * (i + 1));
  }
  // 9.99 s at 4 per second.
  CHECK(within >= 39);
  CHECK(within <= 40);
}

TEST_CASE("An account of less than one submission per second is within its "
          "rate now and then",
          "[workflow]") {
  AccountRates rates;
  CHECK(withinRate(rates, 0, 3, Start, 200) == 1);
  CHECK(withinRate(rates, 3, 3, Start + Milliseconds(4900), 200) == 0);
  CHECK(withinRate(rates, 6, 3, Start + Milliseconds(5000), 200) == 1);
}

TEST_CASE("An account of weight 0 has no rate", "[workflow]") {
  AccountRates rates;
  CHECK(withinRate(rates, 0, 1000, Start, 0) == 1000);
  CHECK(rates.size() == 0);
  CHECK(rates.bucketCount() == 0);
}

TEST_CASE("A submission that is sent again is not charged again",
          "[workflow]") {
  AccountRates rates;
  for (int i = 0; i < 10; ++i) {
    CHECK(withinRate(rates, 0, 1, Start + Milliseconds(i)) == 1);
  }
  CHECK(withinRate(rates, 1, 10, Start + Milliseconds(10)) == 3);
}

// Guards against accounts that get more by sending all they have again and
// again.
TEST_CASE("Excess that is sent again stays excess", "[workflow]") {
  AccountRates rates;
  withinRate(rates, 0, 4, Start);
  REQUIRE(withinRate(rates, 4, 1, Start) == 0);
  CHECK(withinRate(rates, 4, 1, Start + Milliseconds(9999)) == 0);
  CHECK(withinRate(rates, 4, 1, Start + Milliseconds(10'000)) == 1);
}

TEST_CASE("The ids and accounts that are remembered are bounded",
          "[workflow]") {
  AccountRatesOptions options;
  options.MaxIds = 100;
  AccountRates rates(options);
  for (int i = 0; i < 1000; ++i) {
    rates.classify("account-" + std::to_string(i), FourPerSecond, idOf(i),
                   Start);
    CHECK(rates.size() <= 100);
  }
  rates.classify("late", FourPerSecond, "late", Start + Milliseconds(60'000));
  CHECK(rates.size() == 1);
  CHECK(rates.bucketCount() == 1);
}

TEST_CASE("The callers of an account are spread over the time until its bucket "
          "has tokens for those that were refused",
          "[workflow]") {
  AccountRates rates;
  withinRate(rates, 0, 20, Start);
  std::set<Milliseconds> delays;
  for (int i = 4; i < 20; ++i) {
    const Milliseconds it = rates.refuse("desk", FourPerSecond, idOf(i), Start);
    CHECK(it >= Milliseconds(1000));
    // 16 submissions at 4 per second.
    CHECK(it <= Milliseconds(4000));
    delays.insert(it);
  }
  CHECK(delays.size() > 8);
  CHECK(*delays.rbegin() - *delays.begin() > Milliseconds(1500));
}

TEST_CASE("A refused submission that is refused again doesn't prolong the "
          "delays of others, which have an upper limit",
          "[workflow]") {
  AccountRates rates;
  withinRate(rates, 0, 5, Start);
  for (int i = 0; i < 100; ++i) {
    CHECK(rates.refuse("desk", FourPerSecond, idOf(4), Start) ==
          Milliseconds(1000));
  }
  withinRate(rates, 100, 1000, Start);
  Milliseconds longest{0};
  for (int i = 100; i < 1100; ++i) {
    longest =
        std::max(longest, rates.refuse("desk", FourPerSecond, idOf(i), Start));
  }
  CHECK(longest <= Milliseconds(8000));
  CHECK(longest > Milliseconds(7000));
}

TEST_CASE("A changed weight applies from then on", "[workflow]") {
  AccountRates rates;
  withinRate(rates, 0, 4, Start);
  CHECK(withinRate(rates, 10, 10, Start + Milliseconds(1000), 2000) == 2);
  CHECK(withinRate(rates, 20, 10, Start + Milliseconds(2000), 8000) == 2);
  CHECK(withinRate(rates, 30, 20, Start + Milliseconds(3000), 8000) == 8);
}
