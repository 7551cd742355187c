#include "masticwinch/peers/internal/connection_order.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch::peers::internal;

TEST_CASE("A connection is outdated once a later one of its sender was opened",
          "[peers]") {
  ConnectionOrder order;
  CHECK(order.opened({"a", 3}));
  CHECK(order.isLatest({"a", 3}));
  CHECK(order.opened({"a", 5}));
  CHECK_FALSE(order.isLatest({"a", 3}));
  CHECK(order.isLatest({"a", 5}));
  CHECK_FALSE(order.opened({"a", 4}));
  CHECK(order.isLatest({"a", 5}));
}

TEST_CASE("The connections of several senders are independent", "[peers]") {
  ConnectionOrder order;
  CHECK(order.opened({"a", 7}));
  CHECK(order.opened({"b", 1}));
  CHECK(order.isLatest({"a", 7}));
  CHECK(order.isLatest({"b", 1}));
}

TEST_CASE("The senders that opened a connection longest ago are forgotten",
          "[peers]") {
  ConnectionOrder order(2);
  order.opened({"a", 2});
  order.opened({"b", 2});
  order.opened({"a", 3});
  order.opened({"c", 2});
  CHECK(order.size() == 2);
  CHECK_FALSE(order.opened({"a", 2}));
  CHECK(order.opened({"b", 1}));
}
