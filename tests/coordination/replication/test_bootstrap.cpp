#include "masticwinch/coordination/replication/bootstrap.hpp"

#include <catch2/catch.hpp>

namespace masticwinch::replication {

namespace {

Member memberOf(std::uint64_t id, const std::string &name) {
  return {{id, id}, name, "tcp://" + name, "dc", false};
}

std::vector<Member> threeConfigured() {
  return {memberOf(0, "a"), memberOf(0, "b"), memberOf(0, "c")};
}

} // namespace

TEST_CASE("A cell is bootstrapped only when every configured replica is known",
          "[replication]") {
  InitialMembership initial(memberOf(1, "a"), threeConfigured());
  initial.addIdentity(memberOf(2, "b"));
  CHECK_FALSE(initial.complete());
  initial.addIdentity(memberOf(9, "unlisted"));
  CHECK_FALSE(initial.complete());
  initial.addIdentity(memberOf(3, "c"));
  REQUIRE(initial.complete());
  CHECK(initial.complete()->voterCount() == 3);
}

TEST_CASE("A replica wiped during bootstrap counts under its latest identity",
          "[replication]") {
  InitialMembership initial(memberOf(1, "a"), threeConfigured());
  initial.addIdentity(memberOf(2, "b"));
  initial.addIdentity(memberOf(7, "b"));
  initial.addIdentity(memberOf(3, "c"));
  REQUIRE(initial.complete());
  CHECK(initial.complete()->isVoter({7, 7}));
  CHECK_FALSE(initial.complete()->find({2, 2}));
}

TEST_CASE("All initial members start from the same entry", "[replication]") {
  const Membership one{{memberOf(1, "a"), memberOf(2, "b")}};
  const Membership other{{memberOf(2, "b"), memberOf(1, "a")}};
  CHECK(bootstrapState(one).Entries[0].SerializeAsString() ==
        bootstrapState(other).Entries[0].SerializeAsString());
}

} // namespace masticwinch::replication
