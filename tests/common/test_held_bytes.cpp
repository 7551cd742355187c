#include "masticwinch/common/held_bytes.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

constexpr std::size_t Limit = 100;

SteadyTime at(int milliseconds) {
  return SteadyTime(Milliseconds(milliseconds));
}

std::optional<HeldBytes::Id> longestHolding(const HeldBytes &held) {
  return held.longestHolding([](HeldBytes::Id) { return true; });
}

} // namespace

TEST_CASE("Requests and responses of all connections count together",
          "[common]") {
  HeldBytes held(Limit);
  held.received(1, 30, {}, at(0));
  held.received(1, 50, {}, at(1));
  held.received(2, 0, {20, 10}, at(2));
  CHECK(held.total() == 80);
  held.responseBegan(2, 20, at(3));
  CHECK_FALSE(held.isExceeded());
  held.received(3, 1, {}, at(4));
  CHECK(held.isExceeded());
  held.responseEnded(2, 20);
  CHECK(held.total() == 81);
  CHECK(held.peak() == 101);
}

TEST_CASE("A request that is being handled counts until it is released",
          "[common]") {
  HeldBytes held(Limit);
  held.received(1, 0, {20, 30}, at(0));
  CHECK(held.take(1) == 20);
  held.forget(1);
  CHECK(held.total() == 20);
  held.release(20);
  CHECK(held.total() == 0);
  CHECK(held.take(1) == 0);
}

TEST_CASE("The connection that has held bytes for longest is found",
          "[common]") {
  HeldBytes held(Limit);
  held.received(1, 0, {50}, at(0));
  CHECK_FALSE(longestHolding(held));
  held.received(2, 10, {}, at(1));
  held.received(3, 10, {}, at(2));
  held.received(2, 20, {}, at(3));
  CHECK(longestHolding(held) == 2U);
  held.received(2, 0, {20}, at(4));
  CHECK(longestHolding(held) == 3U);
  held.responseBegan(1, 5, at(5));
  CHECK(held.forget(3));
  CHECK_FALSE(held.forget(3));
  CHECK(longestHolding(held) == 1U);
}

TEST_CASE("A request may exceed the limit by itself", "[common]") {
  HeldBytes held(Limit);
  held.received(1, Limit, {}, at(0));
  CHECK_FALSE(held.exceedsAlone(1));
  held.received(1, Limit + 1, {}, at(0));
  CHECK(held.exceedsAlone(1));
  held.received(2, 0, {Limit + 1}, at(0));
  CHECK(held.exceedsAlone(2));
}
