#include <catch2/catch.hpp>

#include "benchmarks/workflow_model.hpp"

using namespace masticwinch;
using namespace masticwinch::benchmarks;

namespace {

/// The submissions to the queue of several runs of the model together.
std::vector<ModelServed> submissions(const std::string &queue, double load) {
  std::vector<ModelServed> all;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    WorkflowModel model(largePriceModel(load, seed));
    model.run();
    const std::vector<ModelServed> some = model.submissions(queue);
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

} // namespace

TEST_CASE("Wide gangs are served nearly as often as narrow ones on a full "
          "fleet of 540 runners",
          "[workflow]") {
  const std::vector<ModelServed> sheets = submissions("sheet", 1.2);
  const double all = servedShare(sheets, 0, 1);
  CAPTURE(all);
  CHECK(servedShare(sheets, 0, 0.1) >= 0.8 * all);
  CHECK(servedShare(sheets, 0.1, 0.3) >= 0.8 * all);
}

// Half as often as all is the least that the users accept. Two changes of
// leader and the loss of an eighth of the runners leave wide gangs behind
// narrow ones.
TEST_CASE("The widest gangs are served half as often as all on a full fleet "
          "that loses leaders and runners",
          "[workflow]") {
  const std::uint64_t seed = GENERATE(6, 8);
  ModelOptions options = largePriceModel(1.2, seed);
  options.LeaderLostAt = {6.4, 15.4};
  options.LeaderlessSeconds = 2;
  options.LeavingShare = 0.13;
  options.RunnersLeaveAt = 9.2;
  WorkflowModel model(options);
  model.run();
  const std::vector<ModelServed> sheets = model.submissions("sheet");
  const double all = servedShare(sheets, 0, 1);
  CAPTURE(seed, all);
  CHECK(servedShare(sheets, 0, 0.1) >= 0.5 * all);
}

TEST_CASE("Accepted workflows complete although the leader and runners are "
          "lost",
          "[workflow]") {
  ModelOptions options;
  options.Queues = priceQueues(0.3, 1);
  options.Seconds = 12;
  options.LeaderLostAt = {3, 7};
  options.LeavingShare = 0.2;
  options.RunnersLeaveAt = 5;
  WorkflowModel model(options);
  model.run();
  for (const auto &[queue, it] : model.outcomes()) {
    CAPTURE(queue);
    REQUIRE(it.Arrived > 0);
    CHECK(it.OnTime + it.Late + it.TooLate + it.Refused == it.Arrived);
  }
}
