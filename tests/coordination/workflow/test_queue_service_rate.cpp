#include "masticwinch/coordination/workflow/queue_service_rate.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

TEST_CASE("The service rate of a queue follows what was started lately",
          "[workflow]") {
  SteadyTime now{std::chrono::seconds(100)};
  QueueServiceRate rate;
  CHECK(rate.perSecond("queue", now) == 0);
  for (int i = 0; i < 40; ++i) {
    rate.add("queue", 300, now);
    now += Milliseconds(100);
  }
  CHECK(rate.perSecond("queue", now) == 3000);
  CHECK(rate.perSecond("queue", now + Milliseconds(1999)) < 3000);
  CHECK(rate.perSecond("queue", now + 2 * QueueServiceRate::Window) == 0);
}
