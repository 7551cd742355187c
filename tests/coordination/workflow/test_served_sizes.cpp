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
