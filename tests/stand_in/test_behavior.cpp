#include "masticwinch/stand_in/behavior.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("A behaviour header changes only the settings that it names",
          "[stand-in]") {
  Behavior defaults;
  defaults.Delay = Milliseconds(7);
  const auto behavior = applyBehavior(defaults, "fail=503, truncate,size=20");
  REQUIRE(behavior);
  CHECK(behavior->Delay == Milliseconds(7));
  CHECK(behavior->Status == 503);
  CHECK(behavior->AnswerBytes == 20);
  CHECK(behavior->Truncate);
  CHECK_FALSE(behavior->Hang);
  CHECK(applyBehavior({}, "delay=20")->Delay == Milliseconds(20));
  CHECK(applyBehavior({}, "hang")->Hang);
}

TEST_CASE("A behaviour header with an invalid item is rejected", "[stand-in]") {
  CHECK_FALSE(applyBehavior({}, "sleep"));
  CHECK_FALSE(applyBehavior({}, "delay"));
  CHECK_FALSE(applyBehavior({}, "delay=-1"));
  CHECK_FALSE(applyBehavior({}, "delay=1s"));
  CHECK_FALSE(applyBehavior({}, "fail=200"));
  CHECK_FALSE(applyBehavior({}, "hang=1"));
  CHECK_FALSE(applyBehavior({}, "hang,,busy"));
}
