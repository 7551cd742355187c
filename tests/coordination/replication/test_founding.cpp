#include "masticwinch/coordination/replication/founding.hpp"

#include <catch2/catch.hpp>

namespace masticwinch::replication {

namespace {

Member founder(std::uint64_t id, const std::string &name) {
  return {{id, id}, name, "tcp://" + name, "dc", false};
}

std::vector<Member> listedThree() {
  return {founder(0, "a"), founder(0, "b"), founder(0, "c")};
}

} // namespace

TEST_CASE("A cell is founded only when every listed replica is known",
          "[replication]") {
  FounderList list(founder(1, "a"), listedThree());
  list.greeted(founder(2, "b"));
  CHECK_FALSE(list.complete());
  list.greeted(founder(9, "stranger"));
  CHECK_FALSE(list.complete());
  list.greeted(founder(3, "c"));
  REQUIRE(list.complete());
  CHECK(list.complete()->voterCount() == 3);
}

TEST_CASE("A founder that was wiped again counts under its last identity",
          "[replication]") {
  FounderList list(founder(1, "a"), listedThree());
  list.greeted(founder(2, "b"));
  list.greeted(founder(7, "b"));
  list.greeted(founder(3, "c"));
  REQUIRE(list.complete());
  CHECK(list.complete()->isVoter({7, 7}));
  CHECK_FALSE(list.complete()->find({2, 2}));
}

TEST_CASE("All founders start from the same entry", "[replication]") {
  const Membership one{{founder(1, "a"), founder(2, "b")}};
  const Membership other{{founder(2, "b"), founder(1, "a")}};
  CHECK(foundingState(one).Entries[0].SerializeAsString() ==
        foundingState(other).Entries[0].SerializeAsString());
}

} // namespace masticwinch::replication
