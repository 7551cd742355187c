#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/coordination/requests/dispatcher.hpp"
#include "masticwinch/coordination/requests/rendezvous.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/requests/dispatcher_fixture.hpp"
#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace masticwinch;
using namespace masticwinch::testing;

namespace {

constexpr std::uint32_t Slots = 8;
constexpr Milliseconds Step{50};
constexpr Milliseconds RunTime{100};
constexpr Milliseconds EntryLease{1500};
constexpr std::uint32_t DeadlineMillis = 5000;

/// Three entry VMs and one upstream, which is owned by "a". Callers send
/// requests to "b" and "c" all the time.
class Cell {
public:
  Cell() {
    protocol::RequestPolicy policy = policyOf(protocol::PATIENT, false);
    policy.set_deadline_ms(DeadlineMillis);
    Builder.entry("a").entry("b").entry("c").profile("p", policy);
    apply();
    std::string upstream = "u";
    while (ownerOf(upstream, Known.entries()) != "a") {
      upstream += "u";
    }
    Builder.upstream(upstream, Slots);
    apply();
    for (const std::string name : {"a", "b", "c"}) {
      Entries[name] = std::make_unique<Dispatcher>(
          DispatcherOptions{.Self = {name, 1}, .DataCenter = "x"});
    }
  }

  void run(Milliseconds duration) {
    for (Milliseconds done{0}; done < duration; done += Step) {
      step();
    }
  }

  void yieldOwner() {
    Builder.entry("a").yield();
    apply();
  }

  /// Number of dispatches of an entry VM so far.
  std::size_t started(const std::string &name) const {
    const auto found = Started.find(name);
    return found == Started.end() ? 0 : found->second;
  }

  bool HasLeader = true;
  bool OwnerPaused = false;

private:
  struct OpenDispatch {
    std::string Entry;
    DispatchNumber Number = 0;
    SteadyTime EndsAt{};
  };

  void apply() {
    for (const protocol::ConfigItem &it : Builder.take()) {
      Items.push_back(it);
      Known.apply(it);
    }
  }

  void step() {
    Clock.advance(Step);
    for (auto &[name, entry] : Entries) {
      if (name == "a" && OwnerPaused) {
        continue;
      }
      if (HasLeader) {
        entry->configure(Items, Clock.now());
        entry->serveUntil(Clock.now() + EntryLease, Clock.now());
      }
      if (name != "a") {
        RequestArrival arrival;
        arrival.Profile = "p";
        arrival.Caller = "caller";
        entry->requestArrived(arrival, Clock.now());
      }
      entry->tick(Clock.now());
      collect(name);
    }
    endDispatches();
  }

  void endDispatches() {
    for (const OpenDispatch &it : std::exchange(Open, {})) {
      if (it.EndsAt > Clock.now()) {
        Open.push_back(it);
        continue;
      }
      Entries.at(it.Entry)->dispatchEnded(
          it.Number, DispatchResult::Answered,
          std::make_shared<const Answer>(Answer{200, "text", "body"}),
          Clock.now());
      collect(it.Entry);
    }
  }

  void collect(const std::string &name) {
    for (const RequestEffect &it : Entries.at(name)->takeEffects()) {
      if (const auto *start = std::get_if<StartDispatch>(&it)) {
        Open.push_back({name, start->Number, Clock.now() + RunTime});
        Started[name] += 1;
        CHECK(Open.size() <= Slots);
      } else if (const auto *message = std::get_if<PeerMessage>(&it)) {
        deliver(name, *message);
      }
    }
  }

  void deliver(const std::string &from, const PeerMessage &message) {
    if (message.To != "a" || !OwnerPaused) {
      Entries.at(message.To)
          ->peerMessageReceived({from, 1}, message.Message, Clock.now());
      collect(message.To);
    }
  }

  ManualClock Clock;
  ConfigBuilder Builder;
  RequestConfig Known;
  std::vector<protocol::ConfigItem> Items;
  std::map<std::string, std::unique_ptr<Dispatcher>> Entries;
  std::vector<OpenDispatch> Open;
  std::map<std::string, std::size_t> Started;
};

/// Two entry VMs that hold slots of an upstream owned by a third one, which is
/// replaced by the first.
struct Replacement {
  explicit Replacement(std::uint32_t deadlineMillis = DeadlineMillis) {
    protocol::RequestPolicy policy = policyOf(protocol::PATIENT, false);
    policy.set_deadline_ms(deadlineMillis);
    Builder.entry("a").entry("b").entry("c").profile("p", policy);
    apply();
    Upstream = "u";
    while (ownerOf(Upstream, Config.entries()) != "a") {
      Upstream += "u";
    }
    Builder.upstream(Upstream, Slots);
    apply();
    First.configure(Config, Clock.now());
    HolderB.configure(Config);
    HolderC.configure(Config);
    NextName = ownerOf(Upstream, {{"b", {}}, {"c", {}}});
    Next = std::make_unique<SlotOwner>(NextName, SlotTiming{});
  }

  void apply() {
    for (const protocol::ConfigItem &it : Builder.take()) {
      Config.apply(it);
    }
  }

  /// Makes the first owner yield; its successor and the holders know it.
  void yieldFirst() {
    Builder.entry("a").yield();
    apply();
    Next->configure(Config, Clock.now());
    HolderB.configure(Config);
    HolderC.configure(Config);
  }

  protocol::SlotDemand demandOf(SlotHolder &holder, const std::string &owner,
                                std::uint32_t want = 0) {
    return holder.makeDemand(owner, {0, want}, Clock.now());
  }

  /// Sends a demand and applies its answer; returns the usable slots.
  std::uint32_t exchange(SlotHolder &holder, const EntryIncarnation &self,
                         SlotOwner &owner, const std::string &ownerName,
                         std::uint32_t want = 0) {
    const auto demand = demandOf(holder, ownerName, want);
    return answer(holder, self, owner, ownerName, demand);
  }

  /// Uses slots at the same time, so that the next demand keeps them.
  void use(SlotHolder &holder, std::uint32_t slots) const {
    for (std::uint32_t i = 0; i < slots; ++i) {
      holder.acquireSlot(Upstream, true);
    }
    for (std::uint32_t i = 0; i < slots; ++i) {
      holder.releaseSlot(Upstream, true);
    }
  }

  std::uint32_t answer(SlotHolder &holder, const EntryIncarnation &self,
                       SlotOwner &owner, const std::string &ownerName,
                       const protocol::SlotDemand &demand) {
    if (const auto grant = owner.handleDemand(self, demand, Clock.now())) {
      holder.applyGrant(ownerName, *grant, Clock.now());
    }
    return holder.usableSlots(Clock.now());
  }

  const SlotTiming Timing;
  const EntryIncarnation B{"b", 1};
  const EntryIncarnation C{"c", 1};
  ManualClock Clock;
  ConfigBuilder Builder;
  RequestConfig Config;
  std::string Upstream;
  std::string NextName;
  SlotOwner First{"a", {}};
  std::unique_ptr<SlotOwner> Next;
  SlotHolder HolderB{B, {}};
  SlotHolder HolderC{C, {}};
};

constexpr Milliseconds AfterLease{500};

} // namespace

TEST_CASE("Requests go on when a silent owner is replaced late",
          "[requests][slots][silent-owner]") {
  Cell cell;
  constexpr Milliseconds WarmUp{2000};
  constexpr Milliseconds LeaderHeard{500};
  constexpr Milliseconds Fenced{1800};
  cell.run(WarmUp);
  REQUIRE(cell.started("b") > 0);
  REQUIRE(cell.started("c") > 0);
  cell.OwnerPaused = true;
  cell.run(LeaderHeard);
  cell.HasLeader = false;
  cell.run(EntryLease);
  const std::size_t before = cell.started("b") + cell.started("c");
  cell.run(Fenced);
  REQUIRE(cell.started("b") + cell.started("c") - before <= 2);
  cell.yieldOwner();
  cell.HasLeader = true;
  const std::size_t startedB = cell.started("b");
  const std::size_t startedC = cell.started("c");
  cell.run(Milliseconds(1000));
  CHECK(cell.started("b") > startedB);
  CHECK(cell.started("c") > startedC);
  cell.OwnerPaused = false;
  cell.run(Milliseconds(20'000));
}

TEST_CASE("Slots are not used between the end of their lease and a new grant",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 3) == 3);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  const auto demand = f.demandOf(f.HolderB, f.NextName);
  REQUIRE(demand.holdings_size() == 1);
  CHECK(demand.holdings(0).slots() == 3);
  CHECK(demand.holdings(0).lease_ended());
  CHECK_FALSE(f.HolderB.hasFreeSlot(f.Upstream, true, f.Clock.now()));
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
  CHECK(f.answer(f.HolderB, f.B, *f.Next, f.NextName, demand) == 3);
  CHECK(f.HolderB.hasFreeSlot(f.Upstream, true, f.Clock.now()));
}

TEST_CASE("Slots are stated after their lease only while they are reserved",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 3) == 3);
  f.Clock.advance(f.Timing.Lease + Milliseconds(DeadlineMillis));
  f.yieldFirst();
  CHECK(f.demandOf(f.HolderB, f.NextName).holdings(0).slots() == 0);
}

TEST_CASE("Slots stated after their lease are not used if the previous owner "
          "may grant them again",
          "[requests][slots][silent-owner]") {
  constexpr std::uint32_t ShortDeadline = 1000;
  Replacement f(ShortDeadline);
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", Slots) == Slots);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  CHECK(f.exchange(f.HolderB, f.B, *f.Next, f.NextName) == 0);
  f.Clock.advance(Milliseconds(ShortDeadline));
  SlotHolder unaware({"d", 1}, {});
  RequestConfig old;
  ConfigBuilder builder;
  builder.entry("a").entry("b").entry("c").upstream(f.Upstream, Slots);
  for (const protocol::ConfigItem &it : builder.take()) {
    old.apply(it);
  }
  unaware.configure(old);
  CHECK(f.exchange(unaware, {"d", 1}, f.First, "a", Slots) == Slots);
  CHECK(f.exchange(f.HolderB, f.B, *f.Next, f.NextName) == 0);
}

TEST_CASE("A late confirmation of slots stated after their lease is not used",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 3) == 3);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  const auto demand = f.demandOf(f.HolderB, f.NextName);
  const auto grant = f.Next->handleDemand(f.B, demand, f.Clock.now());
  f.Clock.advance(Milliseconds(DeadlineMillis) - AfterLease);
  f.HolderB.applyGrant(f.NextName, *grant, f.Clock.now());
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE("An owner that tells no time for its predecessors confirms nothing "
          "after the lease",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 3) == 3);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  const auto demand = f.demandOf(f.HolderB, f.NextName);
  auto grant = f.Next->handleDemand(f.B, demand, f.Clock.now());
  grant->mutable_holdings(0)->clear_previous_owner_ms();
  f.HolderB.applyGrant(f.NextName, *grant, f.Clock.now());
  CHECK(f.HolderB.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE("A demand that reaches an owner after the end of the reservation "
          "gets only free slots",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.use(f.HolderB, 6);
  f.HolderB.makeDemand("a", {}, f.Clock.now());
  const bool leaseEnded = GENERATE(false, true);
  f.Clock.advance(leaseEnded ? f.Timing.Lease + AfterLease : Milliseconds(1));
  const auto late = f.demandOf(f.HolderB, "a");
  REQUIRE(late.holdings(0).slots() == 6);
  f.Clock.advance(f.Timing.Lease + Milliseconds(DeadlineMillis) +
                  f.Timing.SafetyMargin);
  REQUIRE(f.exchange(f.HolderC, f.C, f.First, "a", 5) == 5);
  const auto grant = f.First.handleDemand(f.B, late, f.Clock.now());
  CHECK(grant->holdings(0).slots() == 3);
  CHECK(f.First.reservedSlots(f.Upstream, f.Clock.now()) == Slots);
}

TEST_CASE("A new owner that is ready gives late holders only free slots",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  const auto late = f.demandOf(f.HolderB, f.NextName);
  f.Clock.advance(f.Timing.ServingLease + f.Timing.Lease +
                  Milliseconds(DeadlineMillis) + f.Timing.SafetyMargin);
  REQUIRE(f.exchange(f.HolderC, f.C, *f.Next, f.NextName, Slots) == Slots);
  CHECK(f.answer(f.HolderB, f.B, *f.Next, f.NextName, late) == 0);
  CHECK(f.Next->reservedSlots(f.Upstream, f.Clock.now()) == Slots);
}

TEST_CASE("An owner that resumes confirms the slots that it still reserves",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 3) == 3);
  f.use(f.HolderB, 3);
  f.demandOf(f.HolderB, "a");
  f.First.suspend();
  f.Clock.advance(f.Timing.Lease + AfterLease);
  CHECK(f.exchange(f.HolderB, f.B, f.First, "a") == 0);
  f.First.resume(f.Config, f.Clock.now());
  CHECK(f.exchange(f.HolderB, f.B, f.First, "a") == 3);
  CHECK(f.exchange(f.HolderC, f.C, f.First, "a", Slots) == Slots - 3);
}

TEST_CASE("Slots given back in a demand whose answer was lost are not stated "
          "again",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.HolderB.acquireSlot(f.Upstream, true);
  f.HolderB.acquireSlot(f.Upstream, true);
  const auto lower = f.demandOf(f.HolderB, "a");
  f.First.handleDemand(f.B, lower, f.Clock.now());
  REQUIRE(f.exchange(f.HolderC, f.C, f.First, "a", 6) == 6);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  CHECK(f.exchange(f.HolderB, f.B, *f.Next, f.NextName) == 2);
  CHECK(f.exchange(f.HolderC, f.C, *f.Next, f.NextName) == 6);
}

TEST_CASE(
    "An owner that yielded and owns the upstream again confirms only what "
    "is still reserved",
    "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.First.suspend();
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  REQUIRE(f.exchange(f.HolderB, f.B, *f.Next, f.NextName) == 6);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.Builder.entry("a");
  f.apply();
  f.First.resume(f.Config, f.Clock.now());
  f.HolderB.configure(f.Config);
  f.HolderC.configure(f.Config);
  CHECK(f.exchange(f.HolderC, f.C, f.First, "a", Slots) == 0);
  CHECK(f.exchange(f.HolderB, f.B, f.First, "a") == 6);
  CHECK(f.exchange(f.HolderC, f.C, f.First, "a", Slots) == 0);
  f.Clock.advance(f.Timing.ServingLease + f.Timing.Lease +
                  Milliseconds(DeadlineMillis) + f.Timing.SafetyMargin);
  CHECK(f.exchange(f.HolderC, f.C, f.First, "a", Slots) == Slots);
}

TEST_CASE("A restarted holder states nothing of its predecessor",
          "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  const auto old = f.demandOf(f.HolderB, f.NextName);
  SlotHolder restarted({"b", 2}, {});
  restarted.configure(f.Config);
  CHECK(f.exchange(restarted, {"b", 2}, *f.Next, f.NextName, Slots) == 0);
  const auto grant = f.Next->handleDemand(f.B, old, f.Clock.now());
  restarted.applyGrant(f.NextName, *grant, f.Clock.now());
  CHECK(restarted.usableSlots(f.Clock.now()) == 0);
}

TEST_CASE("A handover lowers what was stated after the lease to what the "
          "previous owner reserves",
          "[requests][slots][silent-owner]") {
  constexpr std::uint32_t ShortDeadline = 1000;
  Replacement f(ShortDeadline);
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  f.Clock.advance(f.Timing.Lease + AfterLease);
  f.yieldFirst();
  CHECK(f.exchange(f.HolderB, f.B, *f.Next, f.NextName) == 0);
  const bool reservationEnds = GENERATE(false, true);
  if (reservationEnds) {
    f.Clock.advance(Milliseconds(ShortDeadline));
    const auto demand = [] {
      protocol::SlotDemand it;
      it.set_sequence(1);
      it.set_want_patient(Slots);
      it.set_horizon_ms(ShortDeadline);
      return it;
    }();
    f.First.handleDemand({"d", 1}, demand, f.Clock.now());
  }
  const auto messages = f.First.configure(f.Config, f.Clock.now());
  REQUIRE(messages.size() == 1);
  f.Next->acceptHandover(messages[0].Message.handover(), f.Clock.now());
  CHECK(f.Next->reservedSlots(f.Upstream, f.Clock.now()) ==
        (reservationEnds ? Slots : 6));
}

TEST_CASE(
    "An owner counts what another owner, which it never knew of, may have "
    "confirmed",
    "[requests][slots][silent-owner]") {
  Replacement f;
  REQUIRE(f.exchange(f.HolderB, f.B, f.First, "a", 6) == 6);
  std::string before = "d";
  while (ownerOf(f.Upstream, {{"a", {}}, {before, {}}}) == "a") {
    before += "d";
  }
  f.Clock.advance(f.Timing.Lease - Milliseconds(1));
  f.Builder.entry(before);
  f.apply();
  f.HolderB.configure(f.Config);
  SlotOwner unknown(before, {});
  unknown.configure(f.Config, f.Clock.now());
  REQUIRE(f.exchange(f.HolderB, f.B, unknown, before) == 6);
  f.Builder.entry(before, 1, true);
  f.apply();
  CHECK(f.First.configure(f.Config, f.Clock.now()).empty());
  f.Clock.advance(Milliseconds(DeadlineMillis) + f.Timing.SafetyMargin +
                  f.Timing.Lease / 2);
  CHECK(f.First.reservedSlots(f.Upstream, f.Clock.now()) == 6);
}

TEST_CASE("An owner whose serving lease ran out hands over nothing",
          "[requests][dispatcher][silent-owner]") {
  DispatcherFixture f({{"p", policyOf(protocol::PATIENT, false)}}, 1, 1);
  f.arrive("p");
  REQUIRE(f.Starts.size() == 1);
  f.Clock.advance(std::chrono::hours(2));
  f.Config.entry("b").entry("a").yield();
  f.EntryDispatcher.configure(f.Config.take(), f.now());
  CHECK_FALSE(f.EntryDispatcher.slotOwner().hasPendingHandovers());
}
