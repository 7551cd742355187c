#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/coordination/cell/entry_leases.hpp"
#include "masticwinch/coordination/cell/serving_lease.hpp"
#include "masticwinch/coordination/cell/upstream_renewals.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/cell/commands.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::cell;

namespace {

const EntryLeaseOptions Options;
const SteadyTime Start{};

ReceivedHello hello(const std::string &name, std::uint64_t revision) {
  return {name, 1, revision};
}

} // namespace

TEST_CASE(
    "A change is not in force until the lease of a silent entry VM has ended",
    "[cell][leases]") {
  CellState state;
  state.apply(joinEntry("entry-1", 1));
  state.apply(joinEntry("entry-2", 1));
  EntryLeases leases(Options);
  leases.becomeLeader(Start);
  leases.hello(hello("entry-1", 2), Start);
  leases.hello(hello("entry-2", 2), Start);
  state.apply(putProfile("sheet", 0));
  const SteadyTime end = Start + Options.Lease + Options.DriftBound;
  leases.hello(hello("entry-1", 3), end);

  CHECK(leases.inForce(state.configuration(), end).in_force_revision() == 2);
  CHECK(leases.inForce(state.configuration(), end + Milliseconds(1))
            .in_force_revision() == 3);
}

TEST_CASE("A silent entry VM yields its upstreams until it is stable again",
          "[cell][leases]") {
  CellState state;
  state.apply(joinEntry("entry-1", 1));
  state.apply(joinEntry("entry-2", 1));
  EntryLeases leases(Options);
  leases.becomeLeader(Start);
  leases.hello(hello("entry-2", 2), Start);
  SteadyTime now = Start;
  const auto helloOfFirst = [&](Milliseconds after) {
    now += after;
    leases.hello(hello("entry-1", 2), now);
    return leases.ownershipChanges(state.configuration(), now);
  };
  now += Options.Lease + Options.DriftBound;
  CHECK(leases.ownershipChanges(state.configuration(), now).empty());
  const auto taken = helloOfFirst(Milliseconds(1));

  REQUIRE(taken.size() == 1);
  CHECK(taken[0].Name == "entry-2");
  CHECK(taken[0].Yielded);
  protocol::Command yield;
  yield.mutable_yield_entry()->set_name("entry-2");
  yield.mutable_yield_entry()->set_incarnation(1);
  yield.mutable_yield_entry()->set_yielded(true);
  CHECK(state.apply(yield).code() == protocol::ACCEPTED);
  leases.hello(hello("entry-2", 3), now);
  const SteadyTime heardAgain = now;
  while (now + Options.Lease / 2 - heardAgain < Options.StabilityPeriod) {
    CHECK(helloOfFirst(Options.Lease / 2).empty());
    leases.hello(hello("entry-2", 3), now);
  }
  const auto given = helloOfFirst(Options.Lease / 2);
  REQUIRE(given.size() == 1);
  CHECK_FALSE(given[0].Yielded);
}

TEST_CASE("No entry VM yields if no other one can take over its upstreams",
          "[cell][leases]") {
  CellState state;
  state.apply(joinEntry("entry-1", 1));
  state.apply(joinEntry("entry-2", 1));
  EntryLeases leases(Options);
  leases.becomeLeader(Start);
  CHECK(leases
            .ownershipChanges(state.configuration(),
                              Start + Options.Lapse + Options.Lease)
            .empty());
}

TEST_CASE("A new leader waits for the leases granted by earlier leaders to end",
          "[cell][leases]") {
  CellState state;
  state.apply(joinEntry("entry-1", 1));
  EntryLeases leases(Options);
  leases.becomeLeader(Start);

  CHECK(leases.inForce(state.configuration(), Start).in_force_revision() == 0);
  CHECK(leases.mayServe(
      state.configuration().present(ConfigKind::Entry)[0]->entry(), Start));
}

TEST_CASE(
    "An entry VM's lease ends on its own clock before it ends at the leader",
    "[cell][leases]") {
  ServingLease lease;
  const std::uint64_t sequence = lease.helloSent(Start);
  CHECK_FALSE(lease.valid(Start));

  lease.granted(sequence, Options.Lease);

  CHECK(lease.valid(Start + Options.Lease - Milliseconds(1)));
  CHECK_FALSE(lease.valid(Start + Options.Lease));
}

TEST_CASE("A repeated grant does not extend the lease", "[cell][leases]") {
  ServingLease lease;
  const std::uint64_t first = lease.helloSent(Start);
  const std::uint64_t second = lease.helloSent(Start + Milliseconds(500));
  lease.granted(second, Options.Lease);
  lease.granted(first, Options.Lease);
  lease.granted(second, Options.Lease);
  lease.granted(0, Milliseconds(60'000));

  CHECK_FALSE(lease.valid(Start + Milliseconds(500) + Options.Lease));
}

TEST_CASE("An upstream lapses when its renewals stop", "[cell][upstreams]") {
  CellState state;
  state.apply(announce("runner", 2));
  UpstreamRenewals renewals(Milliseconds(5000));
  renewals.becomeLeader(Start);
  CHECK(renewals.lapsed(state.configuration(), Start).empty());
  protocol::EntryHello late;
  late.add_renewals()->set_name("runner");
  late.mutable_renewals(0)->set_incarnation(1);
  renewals.renew(late, Start + Milliseconds(4000));

  const auto lapsed =
      renewals.lapsed(state.configuration(), Start + Milliseconds(5001));
  REQUIRE(lapsed.size() == 1);
  CHECK(lapsed[0].Incarnation == 2);
}

TEST_CASE("An upstream that lapsed and returned is not removed again for its "
          "earlier silence",
          "[cell][upstreams]") {
  CellState state;
  state.apply(announce("runner", 1));
  UpstreamRenewals renewals(Milliseconds(5000));
  renewals.becomeLeader(Start);
  CHECK(renewals.lapsed(state.configuration(), Start).empty());
  const SteadyTime returned = Start + Milliseconds(6000);
  REQUIRE(renewals.lapsed(state.configuration(), returned).size() == 1);
  state.apply(leave("runner", 1, true));
  state.apply(announce("runner", 1));

  CHECK(renewals.lapsed(state.configuration(), returned).empty());
  CHECK(renewals.lapsed(state.configuration(), returned + Milliseconds(5000))
            .empty());
  CHECK(renewals.lapsed(state.configuration(), returned + Milliseconds(5001))
            .size() == 1);
}
