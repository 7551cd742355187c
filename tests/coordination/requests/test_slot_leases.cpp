#include "masticwinch/coordination/cell/entry_leases.hpp"
#include "masticwinch/coordination/requests/rendezvous.hpp"
#include "masticwinch/coordination/requests/slot_holder.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/requests/dispatcher_fixture.hpp"

using namespace masticwinch;
using namespace masticwinch::testing;

namespace {

constexpr std::uint32_t Slots = 4;

/// Two entry VMs and one upstream, which is owned by the first.
struct Fixture {
  Fixture() {
    Builder.entry("a").entry("b").profile("p",
                                          policyOf(protocol::PATIENT, false));
    apply();
    Upstream = upstreamOwnedBy("a");
    Builder.upstream(Upstream, Slots);
    apply();
    Owner.configure(Config, Clock.now());
    HolderA.configure(Config);
    HolderB.configure(Config);
  }

  std::string upstreamOwnedBy(const std::string &entry) const {
    std::string name = "u";
    while (ownerOf(name, Config.entries()) != entry) {
      name += "u";
    }
    return name;
  }

  void apply() {
    for (const protocol::ConfigItem &it : Builder.take()) {
      Config.apply(it);
    }
  }

  std::uint32_t demandSlots(SlotHolder &holder, const EntryIncarnation &self,
                            std::uint32_t want) {
    const auto demand = holder.makeDemand("a", {0, want}, Clock.now());
    if (const auto grant = Owner.handleDemand(self, demand, Clock.now())) {
      holder.applyGrant("a", *grant, Clock.now());
    }
    return holder.usableSlots(Clock.now());
  }

  std::uint32_t demandForA(std::uint32_t want) {
    return demandSlots(HolderA, A, want);
  }
  std::uint32_t demandForB(std::uint32_t want) {
    return demandSlots(HolderB, B, want);
  }

  const EntryIncarnation A{"a", 1};
  const EntryIncarnation B{"b", 1};
  ManualClock Clock;
  ConfigBuilder Builder;
  RequestConfig Config;
  std::string Upstream;
  SlotOwner Owner{"a", {}};
  SlotHolder HolderA{A, {}};
  SlotHolder HolderB{B, {}};
};

} // namespace

TEST_CASE("The holders' slots never exceed the upstream's slots in total",
          "[requests][slots]") {
  Fixture f;
  CHECK(f.demandForA(3) == 3);
  f.HolderA.acquireSlot(f.Upstream, true);
  f.HolderA.acquireSlot(f.Upstream, true);
  f.HolderA.acquireSlot(f.Upstream, true);
  CHECK(f.demandForB(3) == 1);
  CHECK(f.demandForA(3) == 3);
}

TEST_CASE("A grant for an older demand is ignored", "[requests][slots]") {
  Fixture f;
  const auto first = f.HolderB.makeDemand("a", {0, 2}, f.Clock.now());
  const auto late = f.Owner.handleDemand(f.B, first, f.Clock.now());
  f.HolderB.makeDemand("a", {}, f.Clock.now());
  f.HolderB.applyGrant("a", *late, f.Clock.now());
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE(
    "Slots of a lost grant stay reserved for the lease of the repeated grant",
    "[requests][slots]") {
  Fixture f;
  const auto lost = f.HolderB.makeDemand("a", {0, 3}, f.Clock.now());
  f.Owner.handleDemand(f.B, lost, f.Clock.now());
  f.Clock.advance(f.Config.longestDeadline());
  REQUIRE(f.demandForB(0) == 3);
  f.Clock.advance(f.Config.longestDeadline() + SlotTiming{}.Lease / 2);
  CHECK(f.demandForA(Slots) == 1);
}

TEST_CASE(
    "A silent holder's slots stay reserved until its dispatches have ended",
    "[requests][slots]") {
  Fixture f;
  f.demandForB(3);
  f.Clock.advance(SlotTiming{}.Lease);
  CHECK_FALSE(f.HolderB.hasFreeSlot(f.Upstream, true, f.Clock.now()));
  CHECK(f.demandForA(Slots) == 1);
  f.Clock.advance(f.Config.longestDeadline() + SlotTiming{}.SafetyMargin);
  CHECK(f.demandForA(Slots) == Slots);
}

TEST_CASE("Slots stay reserved when the upstream restarts or returns",
          "[requests][slots]") {
  Fixture f;
  f.demandForB(3);
  if (GENERATE(false, true)) {
    f.Builder.upstream(f.Upstream, Slots).remove();
    f.apply();
    f.Owner.configure(f.Config, f.Clock.now());
  }
  f.Builder.upstream(f.Upstream, Slots, 2);
  f.apply();
  f.Owner.configure(f.Config, f.Clock.now());
  f.HolderA.configure(f.Config);
  CHECK(f.demandForA(Slots) == 1);
}

TEST_CASE("A new owner grants only slots not reserved in the handover",
          "[requests][slots]") {
  Fixture f;
  f.demandForB(3);
  f.Builder.entry("a", 1, true);
  f.apply();
  const auto messages = f.Owner.configure(f.Config, f.Clock.now());
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].To == "b");
  SlotOwner next("b", {});
  next.configure(f.Config, f.Clock.now());
  SlotHolder newHolder({"c", 1}, {});
  newHolder.configure(f.Config);

  const auto grantedTo = [&](std::uint32_t want) {
    const auto demand = newHolder.makeDemand("b", {0, want}, f.Clock.now());
    newHolder.applyGrant("b",
                         *next.handleDemand({"c", 1}, demand, f.Clock.now()),
                         f.Clock.now());
    return newHolder.usableSlots(f.Clock.now());
  };
  CHECK(grantedTo(Slots) == 0);
  next.acceptHandover(messages[0].Message.handover(), f.Clock.now());
  CHECK(grantedTo(Slots) == 1);
}

TEST_CASE(
    "A new owner without a handover waits until all earlier grants have ended",
    "[requests][slots]") {
  Fixture f;
  f.Builder.entry("a").remove();
  f.apply();
  SlotOwner next("b", {});
  next.configure(f.Config, f.Clock.now());
  f.HolderB.configure(f.Config);
  const auto granted = [&] {
    const auto demand = f.HolderB.makeDemand("b", {0, Slots}, f.Clock.now());
    f.HolderB.applyGrant("b", *next.handleDemand(f.B, demand, f.Clock.now()),
                         f.Clock.now());
    return f.HolderB.usableSlots(f.Clock.now());
  };
  const SlotTiming timing;
  f.Clock.advance(timing.ServingLease + timing.Lease +
                  f.Config.longestDeadline());
  CHECK(granted() == 0);
  f.Clock.advance(timing.SafetyMargin);
  CHECK(granted() == Slots);
}

TEST_CASE("Holders keep their slots while a silent owner is replaced",
          "[requests][slots]") {
  Fixture f;
  REQUIRE(f.demandForB(3) == 3);
  f.HolderB.acquireSlot(f.Upstream, true);
  f.HolderB.acquireSlot(f.Upstream, true);
  const SlotTiming timing;
  const cell::EntryLeaseOptions leader;
  constexpr Milliseconds Commit{500};
  f.Clock.advance(timing.RenewalInterval + leader.Lease + leader.DriftBound +
                  Commit);
  f.Builder.entry("a").yield();
  f.apply();
  SlotOwner next("b", {});
  next.configure(f.Config, f.Clock.now());
  f.HolderB.configure(f.Config);
  f.HolderB.releaseSlot(f.Upstream, true);
  f.HolderB.releaseSlot(f.Upstream, true);
  for (int i = 0; i < 3; ++i) {
    f.Clock.advance(timing.RenewalInterval);
    const auto demand = f.HolderB.makeDemand("b", {0, Slots}, f.Clock.now());
    f.HolderB.applyGrant("b", *next.handleDemand(f.B, demand, f.Clock.now()),
                         f.Clock.now());
    CHECK(f.HolderB.usableSlots(f.Clock.now()) == 3);
  }
  f.Clock.advance(f.Config.longestDeadline() + timing.ServingLease);
  f.HolderB.makeDemand("b", {}, f.Clock.now());
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE("A busy holder gives up slots to another one up to a fair share",
          "[requests][slots]") {
  Fixture f;
  REQUIRE(f.demandForB(Slots) == Slots);
  for (std::uint32_t i = 0; i < Slots; ++i) {
    f.HolderB.acquireSlot(f.Upstream, true);
  }
  REQUIRE(f.demandForA(Slots) == 0);
  f.demandForB(Slots);
  for (int ended = 0; ended < 2; ++ended) {
    f.HolderB.releaseSlot(f.Upstream, true);
    CHECK_FALSE(f.HolderB.hasFreeSlot(f.Upstream, true, f.Clock.now()));
    f.Clock.advance(SlotTiming{}.DemandInterval);
    CHECK(f.HolderB.dueDemands({0, Slots}, f.Clock.now()).size() == 1);
    f.demandForB(Slots);
    f.demandForA(Slots);
  }
  CHECK(f.HolderA.usableSlots(f.Clock.now()) == 2);
  f.demandForB(Slots);
  f.HolderB.releaseSlot(f.Upstream, true);
  CHECK(f.HolderB.hasFreeSlot(f.Upstream, true, f.Clock.now()));
}

TEST_CASE("An idle holder keeps its slots while the owner is silent",
          "[requests][slots]") {
  Fixture f;
  REQUIRE(f.demandForB(3) == 3);
  f.HolderB.acquireSlot(f.Upstream, true);
  f.HolderB.acquireSlot(f.Upstream, true);
  f.HolderB.releaseSlot(f.Upstream, true);
  f.HolderB.releaseSlot(f.Upstream, true);
  for (int i = 0; i < 4; ++i) {
    f.Clock.advance(SlotTiming{}.RenewalInterval);
    f.HolderB.makeDemand("a", {}, f.Clock.now());
    CHECK(f.HolderB.usableSlots(f.Clock.now()) == 2);
  }
  f.demandForB(0);
  f.demandForB(0);
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE("An entry VM that yielded owns nothing while another one is active",
          "[requests][slots]") {
  Fixture f;
  f.Builder.entry("a").yield();
  f.apply();
  CHECK(ownerOf(f.Upstream, f.Config.entries()) == "b");
  f.Builder.entry("b", 1, true);
  f.apply();
  CHECK(ownerOf(f.Upstream, f.Config.entries()) == "a");
}

TEST_CASE("Nothing is dispatched after the serving lease, whichever event "
          "comes first",
          "[requests][dispatcher]") {
  DispatcherFixture f({{"p", policyOf(protocol::PATIENT, false)}}, 1, 1);
  f.arrive("p");
  f.arrive("p");
  f.Clock.advance(std::chrono::hours(1));
  f.end(f.Starts.at(0).Number, DispatchResult::Answered);
  CHECK(f.Starts.size() == 1);
  CHECK(f.Replies.size() == 2);
}

TEST_CASE("Demands to the same owner respect the minimum interval",
          "[requests][slots]") {
  Fixture f;
  CHECK(f.HolderB.dueDemands({0, 9}, f.Clock.now()).size() == 1);
  f.demandForB(1);
  CHECK(f.HolderB.dueDemands({0, 9}, f.Clock.now()).empty());
  f.Clock.advance(SlotTiming{}.RenewalInterval);
  CHECK(f.HolderB.dueDemands({0, 9}, f.Clock.now()).size() == 1);
}
