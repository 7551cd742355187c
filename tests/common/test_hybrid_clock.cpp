#include "masticwinch/common/hybrid_clock.hpp"
#include "masticwinch/common/manual_clock.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("Timestamps after a received one are higher", "[common][clock]") {
  ManualClock behind;
  ManualClock ahead;
  ahead.advance(Milliseconds(5000));
  HybridClock receiver(behind);
  HybridClock sender(ahead);

  const HybridStamp sent = sender.tick();
  receiver.observe(sent);

  CHECK(receiver.tick() > sent);
}

TEST_CASE("Timestamps increase when the wall clock goes back",
          "[common][clock]") {
  ManualClock clock;
  clock.advance(Milliseconds(1000));
  HybridClock hybrid(clock);
  const HybridStamp before = hybrid.tick();

  clock.jumpSystem(Milliseconds(-900));

  CHECK(hybrid.tick() > before);
}

TEST_CASE("A timestamp is parsed from its text form", "[common][clock]") {
  const HybridStamp stamp{1234, 7};
  CHECK(HybridStamp::parse(stamp.text()) == stamp);
  CHECK_FALSE(HybridStamp::parse("1234"));
  CHECK_FALSE(HybridStamp::parse("1234.x"));
  CHECK_FALSE(HybridStamp::parse("1234.7 "));
}
