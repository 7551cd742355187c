#include "masticwinch/coordination/workflow/overdue_share.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint64_t TenCores = 10'000;
constexpr SteadyTime Start{std::chrono::seconds(100)};

/// A tenth of the processors, which accumulates for two seconds.
constexpr OverdueShareOptions Tenth{3000, Milliseconds(1000), 100,
                                    Milliseconds(2000), Milliseconds(8000)};

} // namespace

TEST_CASE("A pool's share for overdue steps comes back with time",
          "[workflow]") {
  OverdueShare share(Tenth);
  CHECK_FALSE(share.hasLeft("pool"));
  share.accrue("pool", TenCores, Start);
  share.spend("pool", "queue", 2500);
  CHECK_FALSE(share.hasLeft("pool"));
  share.accrue("pool", TenCores, Start + Milliseconds(500));
  CHECK_FALSE(share.hasLeft("pool"));
  share.accrue("pool", TenCores, Start + Milliseconds(501));
  CHECK(share.hasLeft("pool"));
}

TEST_CASE("An unused share for overdue steps is bounded", "[workflow]") {
  OverdueShare share(Tenth);
  share.accrue("pool", TenCores, Start);
  share.accrue("pool", TenCores, Start + std::chrono::hours(1));
  share.spend("pool", "queue", 2000);
  CHECK_FALSE(share.hasLeft("pool"));
}

TEST_CASE("A step that overdraws the share doesn't use it up for long",
          "[workflow]") {
  OverdueShare share(Tenth);
  share.accrue("pool", TenCores, Start);
  for (int i = 0; i < 10'000; ++i) {
    share.spend("pool", "queue", 1'000'000'000);
  }
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(share.hasLeft("pool"));
    share.accrue("pool", TenCores, Start + (i + 1) * Milliseconds(2000));
  }
  CHECK(share.hasLeft("pool"));
}

TEST_CASE("Every task takes something from the share for overdue steps",
          "[workflow]") {
  protocol::StepSpec step;
  CHECK(OverdueShare::costOf(step) == 1000);
  step.mutable_needs()->set_milli_processors(2000);
  step.set_estimate_ms(400);
  CHECK(OverdueShare::costOf(step) == 800);
  step.set_long_running(true);
  CHECK(OverdueShare::costOf(step) == 20'000);
}

TEST_CASE("Queues with overdue steps get equal parts of the share",
          "[workflow]") {
  OverdueShare share(Tenth);
  share.accrue("pool", TenCores, Start);
  share.setBacklogs("pool", {{"busy", 5000}});
  share.spend("pool", "busy", 700);
  share.spend("pool", "busy", 300);
  share.setBacklogs("pool", {{"busy", 4000}, {"new", 800}});
  CHECK(share.spentBy("pool", "new") < share.spentBy("pool", "busy"));
  share.spend("pool", "new", 800);
  CHECK(share.spentBy("pool", "new") > share.spentBy("pool", "busy"));
  CHECK(share.drainTime("pool", "new", 0) == Milliseconds(1600));
  CHECK(share.drainTime("pool", "new", 8000) == Milliseconds(100));
  CHECK(share.drainTime("pool", "none", 0) == Milliseconds(0));
  CHECK(share.drainTime("other", "new", 0) == Milliseconds(0));
}

// A queue that came back began at the least that any queue had got: 0, if one
// could not be served.
TEST_CASE("A queue whose backlog comes and goes doesn't go before one that has "
          "one all the time",
          "[workflow]") {
  OverdueShare share(Tenth);
  share.accrue("pool", TenCores, Start);
  share.setBacklogs("pool", {{"stuck", 1}, {"lasting", 5000}});
  share.spend("pool", "lasting", 1000);
  share.spend("pool", "lasting", 1000);
  share.setBacklogs("pool", {{"stuck", 1}, {"lasting", 3000}, {"back", 500}});
  share.spend("pool", "back", 500);
  share.setBacklogs("pool", {{"stuck", 1}, {"lasting", 3000}});
  share.setBacklogs("pool", {{"stuck", 1}, {"lasting", 3000}, {"back", 500}});
  CHECK(share.spentBy("pool", "back") >= 1000);
}

TEST_CASE("A step is overdue once it can't complete within a multiple of the "
          "objective",
          "[workflow]") {
  const OverdueShare share(Tenth);
  CHECK_FALSE(share.isOverdue(Milliseconds(1000), Milliseconds(2500),
                              Milliseconds(500)));
  CHECK(share.isOverdue(Milliseconds(1000), Milliseconds(2501),
                        Milliseconds(500)));
  CHECK_FALSE(
      share.isOverdue(Milliseconds(10), Milliseconds(999), Milliseconds(0)));
}

TEST_CASE("Overdue work takes no more of a time than its share of it",
          "[workflow]") {
  OverdueShare share(Tenth);
  CHECK(share.workWithin("pool", Milliseconds(2000)) == 0);
  share.accrue("pool", TenCores, Start);
  CHECK(share.workWithin("pool", Milliseconds(2000)) == 0);
  share.setBacklogs("pool", {{"first", 700}, {"second", 500}});
  CHECK(share.workWithin("pool", Milliseconds(500)) == 500);
  CHECK(share.workWithin("pool", Milliseconds(2000)) == 1200);
  CHECK(share.workWithin("pool", Milliseconds(-100)) == 0);
}
