#include "masticwinch/coordination/placement/usage_learner.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::placement;

namespace {

const Resources Declared{8'000, 4'096, 1};
const Resources Limit{32'000, 16'384, 1};

void finish(UsageLearner &learner, int tasks) {
  for (int it = 0; it < tasks; ++it) {
    learner.observeFinish(Milliseconds(1'000));
  }
}

} // namespace

TEST_CASE("Tasks that use what they declared are given just that",
          "[placement]") {
  UsageLearner learner;
  learner.observeUsage(Declared);
  finish(learner, 100);
  CHECK(learner.amountFor(Declared, Limit) == Declared);
}

TEST_CASE("More than declared is given at once, up to the limit",
          "[placement]") {
  UsageLearner learner;
  learner.observeUsage({12'000, 40'000, 1});
  CHECK(learner.amountFor(Declared, Limit) == Resources{15'000, 16'384, 1});
}

TEST_CASE("Less than declared is given after many finished, until one fails",
          "[placement]") {
  UsageLearner learner;
  learner.observeUsage({4'000, 1'024, 0});
  finish(learner, 31);
  CHECK(learner.amountFor(Declared, Limit) == Declared);
  finish(learner, 1);
  CHECK(learner.amountFor(Declared, Limit) == Resources{5'000, 1'280, 1});
  learner.observeShortfall();
  CHECK(learner.amountFor(Declared, Limit) == Declared);
  finish(learner, 63);
  CHECK(learner.amountFor(Declared, Limit) == Declared);
  finish(learner, 1);
  CHECK(learner.amountFor(Declared, Limit) == Resources{5'000, 1'280, 1});
}

TEST_CASE("Run times are learnt from enough tasks", "[placement]") {
  UsageLearner learner;
  CHECK(learner.runTimeFor(Milliseconds(50)) == Milliseconds(50));
  finish(learner, 8);
  CHECK(learner.runTimeFor(Milliseconds(50)) == Milliseconds(1'000));
}
