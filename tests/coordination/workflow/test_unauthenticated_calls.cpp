#include "masticwinch/coordination/workflow/unauthenticated_calls.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch::workflow;

TEST_CASE("Unauthenticated calls are reported for the queues with most of them",
          "[workflow]") {
  UnauthenticatedCalls calls;
  calls.count("a", false);
  calls.count("b", true);
  calls.count("b", false);
  calls.count("c", true);
  calls.count("c", true);
  calls.count("c", false);
  const auto report = calls.take(2);
  REQUIRE(report.size() == 2);
  CHECK(report[0].first == "c");
  CHECK(report[0].second.UnknownKey == 2);
  CHECK(report[0].second.WithoutKey == 1);
  CHECK(report[1].first == "b");
  CHECK(calls.take(2).empty());
}

// Guards against memory that grows with the number of queues.
TEST_CASE("Unauthenticated calls are counted for a bounded number of queues",
          "[workflow]") {
  UnauthenticatedCalls calls;
  for (std::size_t i = 0; i < 2 * UnauthenticatedCalls::MaxQueues; ++i) {
    calls.count(std::to_string(i), true);
  }
  CHECK(calls.take(5 * UnauthenticatedCalls::MaxQueues).size() ==
        UnauthenticatedCalls::MaxQueues);
}
