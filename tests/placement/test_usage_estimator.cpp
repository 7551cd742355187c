#include "masticwinch/coordination/placement/usage_estimator.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

const Resources Declared{8'000, 4'096, 1};
const Resources Limit{32'000, 16'384, 1};

void finish(UsageEstimator &estimator, int tasks) {
  for (int it = 0; it < tasks; ++it) {
    estimator.observeFinish(Milliseconds(1'000));
  }
}

} // namespace

TEST_CASE("Tasks that use what they declared are given just that",
          "[placement]") {
  UsageEstimator estimator;
  estimator.observeUsage(Declared);
  finish(estimator, 100);
  CHECK(estimator.amountFor(Declared, Limit) == Declared);
}

TEST_CASE("More than declared is given at once, up to the limit",
          "[placement]") {
  UsageEstimator estimator;
  estimator.observeUsage({12'000, 40'000, 1});
  CHECK(estimator.amountFor(Declared, Limit) == Resources{15'000, 16'384, 1});
}

TEST_CASE("Less than declared is given after many finished, until one fails",
          "[placement]") {
  UsageEstimator estimator;
  estimator.observeUsage({4'000, 1'024, 0});
  finish(estimator, 31);
  CHECK(estimator.amountFor(Declared, Limit) == Declared);
  finish(estimator, 1);
  CHECK(estimator.amountFor(Declared, Limit) == Resources{5'000, 1'280, 1});
  estimator.observeShortfall();
  CHECK(estimator.amountFor(Declared, Limit) == Declared);
  finish(estimator, 63);
  CHECK(estimator.amountFor(Declared, Limit) == Declared);
  finish(estimator, 1);
  CHECK(estimator.amountFor(Declared, Limit) == Resources{5'000, 1'280, 1});
}

TEST_CASE("The run time is estimated once enough tasks have finished",
          "[placement]") {
  UsageEstimator estimator;
  CHECK(estimator.runTimeFor(Milliseconds(50)) == Milliseconds(50));
  finish(estimator, 8);
  CHECK(estimator.runTimeFor(Milliseconds(50)) == Milliseconds(1'000));
}
