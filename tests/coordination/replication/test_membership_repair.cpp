#include "masticwinch/coordination/replication/membership_repair.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch::replication;

namespace {

Member memberOf(std::uint64_t id, const std::string &name,
                bool learner = false) {
  return {{id, id}, name, "tcp://" + name, "dc", learner};
}

Membership fiveVoters() {
  Membership membership;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    membership.Members.push_back(memberOf(i, "vm-" + std::to_string(i)));
  }
  return membership;
}

constexpr ReplicaId Self{1, 1};

} // namespace

TEST_CASE("A healthy cell needs no repair", "[replication]") {
  CHECK_FALSE(nextRepair({}, fiveVoters(), Self, {}, {}));
}

TEST_CASE("The old identity of a VM that lost its disk is removed first",
          "[replication]") {
  const auto step =
      nextRepair({}, fiveVoters(), Self, {}, {memberOf(9, "vm-3")});
  REQUIRE(step);
  CHECK(step->Kind == RepairKind::Remove);
  CHECK(step->Replica.Id == ReplicaId{3, 3});
}

TEST_CASE("A new replica becomes a learner", "[replication]") {
  const auto step =
      nextRepair({}, fiveVoters(), Self, {}, {memberOf(9, "vm-9")});
  REQUIRE(step);
  CHECK(step->Kind == RepairKind::Add);
}

TEST_CASE("A learner becomes a voter once it has caught up", "[replication]") {
  Membership membership = fiveVoters();
  membership.Members.pop_back();
  membership.Members.push_back(memberOf(9, "vm-9", true));
  CHECK_FALSE(nextRepair({}, membership, Self, {}, {}));
  const auto step = nextRepair({}, membership, Self, {{{9, 9}, {0, true}}}, {});
  REQUIRE(step);
  CHECK(step->Kind == RepairKind::Promote);
}

TEST_CASE("An unresponsive voter is removed only if a learner can replace it",
          "[replication]") {
  Membership membership = fiveVoters();
  const std::map<ReplicaId, MemberHealth> unresponsive{{{4, 4}, {50, false}}};
  CHECK_FALSE(nextRepair({}, membership, Self, unresponsive, {}));

  membership.Members.push_back(memberOf(9, "vm-9", true));
  std::map<ReplicaId, MemberHealth> health = unresponsive;
  health[{9, 9}] = {0, true};
  const auto step = nextRepair({}, membership, Self, health, {});
  REQUIRE(step);
  CHECK(step->Kind == RepairKind::Remove);
  CHECK(step->Replica.Id == ReplicaId{4, 4});
}

TEST_CASE("The leader never removes itself", "[replication]") {
  const auto step =
      nextRepair({}, fiveVoters(), Self, {}, {memberOf(9, "vm-1")});
  REQUIRE(step);
  CHECK(step->Kind == RepairKind::Add);
}
