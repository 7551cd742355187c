#include "masticwinch/coordination/placement/worker_lease.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

constexpr SteadyTime Start{std::chrono::hours(1)};
const LeaseSettings Settings;

} // namespace

TEST_CASE("A worker without a reading is granted no lease", "[placement]") {
  WorkerLease lease;
  const LeaseGrant first = lease.nextCall(3, Settings, Start);
  CHECK(first.Incarnation == 0);
  CHECK(first.LeaseMs == 0);
  CHECK(lease.expired(Start));
  CHECK(lease.answered(first.Sequence, {7, 500}, Start) ==
        LeaseAnswer::NewIncarnation);
  const LeaseGrant second = lease.nextCall(3, Settings, Start);
  CHECK(second.Incarnation == 7);
  CHECK(second.ClockMs == 500);
  CHECK_FALSE(lease.expired(Start + Settings.Length));
  CHECK(lease.expired(Start + Settings.maxDurationOnGranterClock() +
                      Milliseconds(1)));
}

TEST_CASE("Unanswered calls do not extend a lease", "[placement]") {
  WorkerLease lease;
  const LeaseGrant first = lease.nextCall(1, Settings, Start);
  lease.answered(first.Sequence, {7, 500}, Start);
  for (int second = 1; second < 10; ++second) {
    const LeaseGrant grant =
        lease.nextCall(1, Settings, Start + std::chrono::seconds(second));
    CHECK(grant.ClockMs == 500);
    lease.failed(grant.Sequence);
  }
  const SteadyTime end = Start + Settings.maxDurationOnGranterClock();
  CHECK(lease.latestExpiry() == end);
  CHECK(lease.nextCall(1, Settings, end).Incarnation == 0);
}

TEST_CASE("Answers to earlier calls are ignored", "[placement]") {
  WorkerLease lease;
  const LeaseGrant first = lease.nextCall(1, Settings, Start);
  lease.failed(first.Sequence);
  const LeaseGrant second = lease.nextCall(1, Settings, Start);
  CHECK(lease.answered(first.Sequence, {7, 1}, Start) == LeaseAnswer::Outdated);
  CHECK(lease.answered(second.Sequence, {7, 2}, Start) ==
        LeaseAnswer::NewIncarnation);
  CHECK(lease.answered(second.Sequence, {7, 2}, Start) ==
        LeaseAnswer::Outdated);
}
