#include "masticwinch/common/hybrid_clock.hpp"
#include "masticwinch/common/manual_clock.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

TEST_CASE("A received stamp orders later events behind it", "[common][clock]") {
  ManualClock behind;
  ManualClock ahead;
  ahead.advance(Milliseconds(5000));
  HybridClock receiver(behind);
  HybridClock sender(ahead);

  const HybridStamp sent = sender.tick();
  receiver.observe(sent);

  CHECK(receiver.tick() > sent);
}

TEST_CASE("Stamps never go back when the wall clock does", "[common][clock]") {
  ManualClock clock;
  clock.advance(Milliseconds(1000));
  HybridClock hybrid(clock);
  const HybridStamp before = hybrid.tick();

  clock.jumpSystem(Milliseconds(-900));

  CHECK(hybrid.tick() > before);
}

TEST_CASE("A stamp's text form reads back", "[common][clock]") {
  const HybridStamp stamp{1234, 7};
  CHECK(HybridStamp::parse(stamp.text()) == stamp);
  CHECK_FALSE(HybridStamp::parse("1234"));
  CHECK_FALSE(HybridStamp::parse("1234.x"));
  CHECK_FALSE(HybridStamp::parse("1234.7 "));
}
