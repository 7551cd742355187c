#include "masticwinch/load/arrivals.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace masticwinch;

namespace {

std::vector<double> arrivalTimes(const std::vector<ArrivalPhase> &phases,
                                 std::uint64_t seed) {
  Arrivals arrivals(phases, seed);
  std::vector<double> times;
  while (const auto at = arrivals.next()) {
    times.push_back(*at);
  }
  return times;
}

} // namespace

TEST_CASE("Constant arrivals have equal intervals in each phase", "[load]") {
  const auto times = arrivalTimes(
      {{ArrivalKind::Constant, 1, 4, 4}, {ArrivalKind::Constant, 1, 2, 2}}, 1);
  REQUIRE(times.size() == 6);
  for (int i = 0; i < 4; ++i) {
    CHECK(times[i] == Approx(0.25 * (i + 1)));
  }
  CHECK(times[4] == Approx(1.5));
  CHECK(times[5] == Approx(2.0));
}

TEST_CASE("On a ramp from zero, arrival times grow with the square root",
          "[load]") {
  const auto times = arrivalTimes({{ArrivalKind::Constant, 10, 0, 20}}, 1);
  REQUIRE(times.size() == 100);
  CHECK(times[24] == Approx(5));
  CHECK(times[99] == Approx(10));
}

TEST_CASE("A phase without arrivals is skipped", "[load]") {
  const auto times = arrivalTimes(
      {{ArrivalKind::Constant, 5, 0, 0}, {ArrivalKind::Constant, 1, 1, 1}}, 1);
  REQUIRE(times.size() == 1);
  CHECK(times[0] == Approx(6));
}

TEST_CASE("Poisson arrivals depend on the seed and match the rate", "[load]") {
  const std::vector<ArrivalPhase> phases{{ArrivalKind::Poisson, 100, 50, 150}};
  const auto first = arrivalTimes(phases, 7);
  CHECK(first == arrivalTimes(phases, 7));
  CHECK(first != arrivalTimes(phases, 8));
  const double expected = 10000;
  constexpr double Deviations = 5;
  CHECK(std::abs(double(first.size()) - expected) <
        Deviations * std::sqrt(expected));
}

TEST_CASE("Arrivals are ordered and within the duration of the plan",
          "[load]") {
  rc::check([](std::uint64_t seed, std::vector<std::uint8_t> rates) {
    std::vector<ArrivalPhase> phases;
    for (std::size_t i = 1; i < rates.size(); ++i) {
      const auto kind =
          rates[i] % 2 == 0 ? ArrivalKind::Constant : ArrivalKind::Poisson;
      phases.push_back({kind, 0.5, double(rates[i - 1]), double(rates[i])});
    }
    double last = 0;
    for (double it : arrivalTimes(phases, seed)) {
      RC_ASSERT(it >= last);
      RC_ASSERT(it <= double(phases.size()) * 0.5 + 1e-6);
      last = it;
    }
  });
}
