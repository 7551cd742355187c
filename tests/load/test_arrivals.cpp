#include "masticwinch/load/arrivals.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace masticwinch;

namespace {

std::vector<double> all(const std::vector<ArrivalPhase> &phases,
                        std::uint64_t seed) {
  Arrivals arrivals(phases, seed);
  std::vector<double> moments;
  while (const auto at = arrivals.next()) {
    moments.push_back(*at);
  }
  return moments;
}

} // namespace

TEST_CASE("Constant arrivals have equal distances over phases", "[load]") {
  const auto moments = all(
      {{ArrivalKind::Constant, 1, 4, 4}, {ArrivalKind::Constant, 1, 2, 2}}, 1);
  REQUIRE(moments.size() == 6);
  for (int i = 0; i < 4; ++i) {
    CHECK(moments[i] == Approx(0.25 * (i + 1)));
  }
  CHECK(moments[4] == Approx(1.5));
  CHECK(moments[5] == Approx(2.0));
}

TEST_CASE("A ramp from zero sends the n-th at the square root of its share",
          "[load]") {
  const auto moments = all({{ArrivalKind::Constant, 10, 0, 20}}, 1);
  REQUIRE(moments.size() == 100);
  CHECK(moments[24] == Approx(5));
  CHECK(moments[99] == Approx(10));
}

TEST_CASE("A phase without arrivals is passed over", "[load]") {
  const auto moments = all(
      {{ArrivalKind::Constant, 5, 0, 0}, {ArrivalKind::Constant, 1, 1, 1}}, 1);
  REQUIRE(moments.size() == 1);
  CHECK(moments[0] == Approx(6));
}

TEST_CASE("Poisson arrivals follow their seed and rate", "[load]") {
  const std::vector<ArrivalPhase> phases{{ArrivalKind::Poisson, 100, 50, 150}};
  const auto first = all(phases, 7);
  CHECK(first == all(phases, 7));
  CHECK(first != all(phases, 8));
  const double expected = 10000;
  constexpr double Deviations = 5;
  CHECK(std::abs(double(first.size()) - expected) <
        Deviations * std::sqrt(expected));
}

TEST_CASE("Arrivals are ordered and inside the plan", "[load]") {
  rc::check([](std::uint64_t seed, std::vector<std::uint8_t> rates) {
    std::vector<ArrivalPhase> phases;
    for (std::size_t i = 1; i < rates.size(); ++i) {
      const auto kind =
          rates[i] % 2 == 0 ? ArrivalKind::Constant : ArrivalKind::Poisson;
      phases.push_back({kind, 0.5, double(rates[i - 1]), double(rates[i])});
    }
    double last = 0;
    for (double it : all(phases, seed)) {
      RC_ASSERT(it >= last);
      RC_ASSERT(it <= double(phases.size()) * 0.5 + 1e-6);
      last = it;
    }
  });
}
