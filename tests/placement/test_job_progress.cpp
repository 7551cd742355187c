#include "masticwinch/coordination/placement/job_progress.hpp"
#include "masticwinch/protocol/placement.pb.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace masticwinch;
using namespace masticwinch::placement;

TEST_CASE("Task ranges contain the added tasks, sorted and merged",
          "[placement]") {
  CHECK(rc::check("equals a set", [](const std::vector<std::uint8_t> &tasks) {
    protocol::JobProgress progress;
    std::set<std::uint32_t> expected;
    for (const std::uint8_t it : tasks) {
      addTask(*progress.mutable_finished(), it);
      expected.insert(it);
    }
    const auto listed = tasksOf(progress.finished());
    RC_ASSERT(listed == std::vector(expected.begin(), expected.end()));
    for (int it = 1; it < progress.finished_size(); ++it) {
      const auto &before = progress.finished(it - 1);
      RC_ASSERT(before.first() + before.count() <
                progress.finished(it).first());
    }
  }));
}

TEST_CASE("A task keeps its first outcome", "[placement]") {
  protocol::JobProgress progress;
  protocol::TaskOutcomes outcomes;
  outcomes.add_started(4);
  outcomes.add_unknown(4);
  applyOutcomes(progress, outcomes, 8);
  protocol::TaskOutcomes late;
  late.add_finished(4);
  late.set_ended(true);
  applyOutcomes(progress, late, 8);
  applyOutcomes(progress, late, 8);
  CHECK(holdsTask(progress.unknown(), 4));
  CHECK(progress.finished_size() == 0);
  CHECK(progress.ended());
}

TEST_CASE("The remaining tasks of a job finish without being listed",
          "[placement]") {
  protocol::JobProgress progress;
  protocol::TaskOutcomes outcomes;
  outcomes.add_failed(2);
  outcomes.set_rest_finished(true);
  applyOutcomes(progress, outcomes, 5);
  CHECK(tasksOf(progress.finished()) == std::vector<std::uint32_t>{0, 1, 3, 4});
  CHECK(tasksOf(progress.failed()) == std::vector<std::uint32_t>{2});
}
