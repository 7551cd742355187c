#include "masticwinch/coordination/workflow/call_delay.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>
#include <set>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

protocol::WorkflowAnswer submit(LedCell &cell, const std::string &id,
                                Milliseconds waited) {
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/" + id);
  *call.mutable_submit() = specOf(id, {stepOf(1)});
  protocol::WorkflowAnswer received;
  cell.Leader.setCallDelay(waited);
  cell.Leader.call(
      call, [&](const protocol::WorkflowAnswer &it) { received = it; },
      cell.Now);
  cell.pass(Milliseconds(0));
  return received;
}

/// Longest wait of an accepted submission, and number of refused ones, of a
/// leader that gets more than it can accept and handles it in order.
struct BusyLeader {
  static constexpr Milliseconds AcceptTime{10};
  static constexpr Milliseconds RefuseTime{1};
  static constexpr Milliseconds ArrivalInterval{5};
  static constexpr Milliseconds Length{60'000};

  void run(const CallDelayOptions &options) {
    Milliseconds arrived{0};
    for (Milliseconds now{0}; now < Length; arrived += ArrivalInterval) {
      now = std::max(now, arrived);
      const Milliseconds waited = now - arrived;
      if (retryAfterDelay(options, waited, 0)) {
        Refused += 1;
        now += RefuseTime;
        continue;
      }
      Accepted += 1;
      LongestWait = std::max(LongestWait, waited);
      now += AcceptTime;
    }
  }

  Milliseconds LongestWait{0};
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
};

} // namespace

// Guards against work that is accepted for callers that have left.
TEST_CASE("A submission that waited too long for a busy leader is refused "
          "without an effect",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 5'000'000);
  const Milliseconds bound = CallDelayOptions().MaxDelay;
  const std::string id = "000000000000000a";
  const protocol::WorkflowAnswer refused =
      submit(cell, id, bound + Milliseconds(1));
  CHECK(refused.verdict() == protocol::VERDICT_REFUSED);
  CHECK(refused.reason() == "waited too long");
  CHECK(refused.retry_after_ms() >= 1000);
  CHECK(cell.State.find(id) == nullptr);
  CHECK(submit(cell, id, bound).verdict() == protocol::VERDICT_OK);
}

TEST_CASE("A late copy of an accepted submission is not refused",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 5'000'000);
  const std::string id = "000000000000000a";
  REQUIRE(submit(cell, id, Milliseconds(0)).verdict() == protocol::VERDICT_OK);
  CHECK(submit(cell, id, Milliseconds(5000)).verdict() == protocol::VERDICT_OK);
}

TEST_CASE("Refused submissions of the same delay retry at different times",
          "[workflow]") {
  const CallDelayOptions options;
  std::set<Milliseconds> delays;
  for (std::uint64_t salt = 0; salt < 100; ++salt) {
    const auto after =
        retryAfterDelay(options, options.MaxDelay + Milliseconds(1), salt);
    REQUIRE(after);
    CHECK(*after >= options.MinRetryAfter);
    CHECK(*after < options.MinRetryAfter + options.RetrySpread);
    delays.insert(*after);
  }
  CHECK(delays.size() == 100);
}

TEST_CASE("The wait of accepted submissions stays bounded at a leader that "
          "gets twice what it can accept",
          "[workflow]") {
  BusyLeader bounded;
  bounded.run({});
  CHECK(bounded.LongestWait <= CallDelayOptions().MaxDelay);
  CHECK(bounded.Accepted > 0);
  CHECK(bounded.Refused > 0);
}
