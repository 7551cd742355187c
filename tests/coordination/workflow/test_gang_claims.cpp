#include "masticwinch/coordination/workflow/gang_claims.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/answered_cell.hpp"
#include <set>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const StepKey Wide{"w", 0, 0};
const StepKey Other{"x", 0, 0};
const ResourceAmounts Needs{9000, 1024, 0};
const SteadyTime Now{std::chrono::seconds(100)};

bool always(const StepKey &) { return true; }

protocol::StepSpec heavyStep(std::uint32_t count, bool gang,
                             std::uint32_t cores) {
  protocol::StepSpec step = stepOf(count, gang);
  step.mutable_needs()->set_milli_processors(cores * 1000);
  return step;
}

} // namespace

TEST_CASE("A claim that is updated in each pass is kept", "[workflow]") {
  GangClaims claims;
  claims.update(Wide, Needs, {{"i-0", 2}}, Now);
  claims.beginPass(always);
  REQUIRE(claims.find(Wide));
  CHECK(claims.find(Wide)->milliProcessors() == 18'000);
  claims.update(Wide, Needs, {{"i-0", 2}, {"i-1", 1}}, Now + Milliseconds(50));
  claims.beginPass(always);
  REQUIRE(claims.find(Wide));
  CHECK(claims.find(Wide)->placeCount() == 3);
  CHECK(claims.find(Wide)->Since == Now);
}

TEST_CASE("A claim ends if its step is not tried or doesn't wait any more",
          "[workflow]") {
  GangClaims claims;
  claims.update(Wide, Needs, {{"i-0", 2}}, Now);
  claims.update(Other, Needs, {{"i-0", 1}}, Now);
  claims.beginPass([](const StepKey &it) { return it == Wide; });
  CHECK(claims.find(Wide));
  CHECK_FALSE(claims.find(Other));
  claims.beginPass(always);
  CHECK_FALSE(claims.find(Wide));
}

TEST_CASE("Claims that have ended are returned once, with how they ended",
          "[workflow]") {
  GangClaims claims;
  claims.update(Wide, Needs, {{"i-0", 2}}, Now);
  claims.update(Other, Needs, {{"i-0", 1}}, Now);
  claims.remove(Wide, ClaimEnd::Started);
  claims.remove(Wide, ClaimEnd::Started);
  claims.beginPass([](const StepKey &) { return false; });
  const std::vector<EndedClaim> ended = claims.takeEnded();
  REQUIRE(ended.size() == 2);
  CHECK(ended[0].End == ClaimEnd::Started);
  CHECK(ended[0].Claim.placeCount() == 2);
  CHECK(ended[1].End == ClaimEnd::NotTried);
  CHECK(claims.takeEnded().empty());
}

TEST_CASE("A claim is reduced to the room that is left", "[workflow]") {
  GangClaims claims;
  claims.update(Wide, Needs, {{"i-0", 2}, {"i-1", 3}}, Now);
  claims.reduce([](const std::string &runner, const ResourceAmounts &,
                   std::size_t places) {
    return runner == "i-1" ? std::size_t(1) : places;
  });
  CHECK(claims.find(Wide)->placeCount() == 3);
}

TEST_CASE("A gang keeps the room that it has gathered when it becomes late",
          "[workflow]") {
  AnsweredCell cell(2);
  const std::string gang = "000000000000000b";
  cell.submit("000000000000000a", {heavyStep(2, false, 32)});
  cell.advance(Milliseconds(100));
  cell.submit(gang, {heavyStep(2, true, 20)});
  cell.advance(Milliseconds(900));
  cell.endRunsOn("i-0");
  cell.advance(Milliseconds(100));
  // Later than three times its objective.
  for (int i = 0; i < 60; ++i) {
    cell.submit("00000000000001" + std::to_string(10 + i),
                {heavyStep(1, false, 30)});
    cell.advance(Milliseconds(100));
  }
  cell.endRunsOn("i-1");
  cell.advance(Milliseconds(200));
  CHECK(cell.startsOf(gang) == 2);
}

TEST_CASE("A gang whose room frees up runner by runner is not passed over",
          "[workflow]") {
  AnsweredCell cell(2);
  const std::string gang = "000000000000000b";
  cell.submit("000000000000000a", {heavyStep(2, false, 32)});
  cell.advance(Milliseconds(100));
  REQUIRE(cell.startsOf("000000000000000a") == 2);
  cell.submit(gang, {heavyStep(2, true, 20)});
  cell.submit("000000000000000c", {heavyStep(4, false, 30)});
  cell.advance(Milliseconds(900));
  cell.endRunsOn("i-0");
  cell.advance(Milliseconds(200));
  cell.endRunsOn("i-1");
  cell.advance(Milliseconds(200));
  CHECK(cell.startsOf(gang) == 2);
}

TEST_CASE("A claim states when its gang is expected to be ready",
          "[workflow]") {
  GangClaims claims;
  claims.update(Wide, Needs, {{"i-0", 2}}, Now, Now + Milliseconds(500));
  CHECK(claims.find(Wide)->ReadyAt == Now + Milliseconds(500));
  claims.update(Wide, Needs, {{"i-0", 2}}, Now, Now + Milliseconds(250));
  CHECK(claims.find(Wide)->ReadyAt == Now + Milliseconds(250));
  claims.update(Wide, Needs, {{"i-0", 2}}, Now);
  CHECK_FALSE(claims.find(Wide)->ReadyAt);
}
