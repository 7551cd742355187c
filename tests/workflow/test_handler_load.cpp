#include "masticwinch/workflow/handler_load.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

TEST_CASE("A report states calls and times since the last one",
          "[workflow][load]") {
  const SteadyTime start{std::chrono::seconds(100)};
  HandlerLoad load;
  load.record("tick", Milliseconds(7));
  CHECK_FALSE(load.report(start));
  load.record("call", Milliseconds(2));
  load.record("tick", Milliseconds(3));
  load.record("call", Milliseconds(4));
  load.recordDelay(Milliseconds(20));
  load.recordDelay(Milliseconds(5));
  CHECK_FALSE(load.report(start + Milliseconds(999)));
  const auto report = load.report(start + Milliseconds(1500));
  REQUIRE(report);
  CHECK(report->Interval == Milliseconds(1500));
  CHECK(report->LongestDelay == Milliseconds(20));
  CHECK(report->Handlers == "call:2/6 tick:1/3");
  CHECK_FALSE(load.report(start + Milliseconds(1600)));
}
