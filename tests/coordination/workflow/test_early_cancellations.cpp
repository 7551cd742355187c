#include "masticwinch/coordination/workflow/early_cancellations.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
constexpr SteadyTime Start{std::chrono::seconds(100)};

} // namespace

TEST_CASE("A cancellation is remembered for its account and for a while",
          "[workflow]") {
  EarlyCancellations cancellations;
  cancellations.add(Job, "north", Start);
  CHECK(cancellations.contains(Job, "north", Start));
  CHECK_FALSE(cancellations.contains(Job, "south", Start));
  CHECK_FALSE(cancellations.contains("another", "north", Start));
  CHECK_FALSE(
      cancellations.contains(Job, "north", Start + std::chrono::minutes(2)));
}

TEST_CASE("The number of remembered cancellations is bounded", "[workflow]") {
  EarlyCancellations cancellations({.MaxIds = 10});
  for (int i = 0; i < 100; ++i) {
    cancellations.add(std::to_string(i), "", Start);
    cancellations.add("again", "", Start);
  }
  CHECK(cancellations.size() <= 10);
  CHECK(cancellations.contains("again", "", Start));
}

// Guards against a job that starts although its caller was told that there is
// none: the submission was held up and arrived after the cancellation.
TEST_CASE("A submission that arrives after its cancellation isn't accepted",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("i-1"), 1, 5'000'000);
  cell.cancel(Job);
  cell.submit(Job);
  CHECK(cell.State.find(Job) == nullptr);
  cell.submit("000000000000000b");
  CHECK(cell.State.find("000000000000000b") != nullptr);
}
