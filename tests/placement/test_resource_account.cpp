#include "masticwinch/coordination/placement/resource_account.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace masticwinch::placement;

TEST_CASE("An account never reserves more than a VM has", "[placement]") {
  ResourceAccount account;
  account.setCapacity(0, {1000, 512, 1});
  CHECK(account.tryReserve(0, {600, 512, 0}));
  CHECK_FALSE(account.tryReserve(0, {500, 0, 0}));
  CHECK_FALSE(account.tryReserve(0, {0, 1, 0}));
  CHECK(account.tryReserve(0, {400, 0, 1}));
  CHECK(account.free(0) == Resources{});
  account.release(0, {600, 512, 0});
  CHECK(account.reserved(0) == Resources{400, 0, 1});
}

TEST_CASE("An account rejects inconsistent changes", "[placement]") {
  ResourceAccount account;
  account.setCapacity(0, {1000, 512, 0});
  REQUIRE(account.tryReserve(0, {700, 100, 0}));
  CHECK_THROWS_AS(account.release(0, {701, 0, 0}), AccountError);
  CHECK_THROWS_AS(account.tryReserve(0, {-1, 0, 0}), AccountError);
  CHECK_THROWS_AS(account.setCapacity(0, {600, 512, 0}), AccountError);
  const std::vector<Holding> wrong{{0, {600, 100, 0}}};
  CHECK_THROWS_AS(account.verify(wrong), AccountError);
  const std::vector<Holding> right{{0, {700, 100, 0}}};
  CHECK_NOTHROW(account.verify(right));
}

TEST_CASE("A search finds the first schedulable VM with room", "[placement]") {
  CHECK(rc::check("equivalent to a linear scan", [] {
    ResourceAccount account;
    const auto count = *rc::gen::inRange<WorkerIndex>(1, 40);
    for (WorkerIndex vm = 0; vm < count; ++vm) {
      account.setCapacity(vm, {*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 8),
                               *rc::gen::inRange(0, 2)});
      account.setSchedulable(vm, *rc::gen::inRange(0, 4) != 0);
      account.setSchedulable(vm, *rc::gen::inRange(0, 4) != 0);
    }
    std::vector<bool> schedulable(count);
    for (WorkerIndex vm = 0; vm < count; ++vm) {
      schedulable[vm] = *rc::gen::arbitrary<bool>();
      account.setSchedulable(vm, schedulable[vm]);
    }
    const Resources amount{*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 8),
                           *rc::gen::inRange(0, 2)};
    const auto from = *rc::gen::inRange<WorkerIndex>(0, count);
    WorkerIndex expected = NoIndex;
    for (WorkerIndex vm = count; vm-- > from;) {
      expected =
          schedulable[vm] && amount.fitsIn(account.free(vm)) ? vm : expected;
    }
    RC_ASSERT(account.findFree(from, amount) == expected);
  }));
}
