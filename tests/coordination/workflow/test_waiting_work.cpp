#include "masticwinch/coordination/workflow/waiting_work.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr std::uint32_t Priority = 1;
const std::string Queue = "sheets";

} // namespace

TEST_CASE("Work waits ahead of its own priority and of later ones",
          "[workflow]") {
  WaitingWork waiting;
  waiting.addStep(Queue, Priority, false, 1000);
  CHECK(waiting.aheadOf(Priority - 1) == 0);
  CHECK(waiting.aheadOf(Priority) == 1000);
  CHECK(waiting.aheadOf(Priority + 1) == 1000);
}

TEST_CASE("A submission counts in each pass until it is stored", "[workflow]") {
  WaitingWork waiting;
  waiting.letIn(specOf("a", {stepOf(2)}), Priority);
  CHECK(waiting.aheadOf(Priority) == 2000);
  waiting.beginCount({});
  CHECK(waiting.aheadOf(Priority) == 2000);
  waiting.stored("a");
  CHECK(waiting.aheadOf(Priority) == 2000);
  waiting.beginCount({});
  CHECK(waiting.aheadOf(Priority) == 0);
}

TEST_CASE("Of a submission the steps count that can start first",
          "[workflow]") {
  protocol::StepSpec second = stepOf(10);
  second.add_after(0);
  WaitingWork waiting;
  waiting.letIn(specOf("a", {stepOf(1), second, stepOf(3, true)}), Priority);
  CHECK(waiting.aheadOf(Priority) == 4000);
}

TEST_CASE("A submission whose occurrences begin later doesn't wait",
          "[workflow]") {
  protocol::WorkflowSpec spec = specOf("a", {stepOf(1)});
  spec.set_repeats(3);
  WaitingWork waiting;
  waiting.letIn(spec, Priority);
  CHECK(waiting.aheadOf(Priority) == 0);
}

TEST_CASE("Work of a queue on probation is ahead of this queue only, a gang of "
          "all",
          "[workflow]") {
  WaitingWork waiting;
  CHECK_FALSE(waiting.onProbation(Queue));
  waiting.beginCount({Queue});
  CHECK_FALSE(waiting.onProbation(Queue));
  waiting.addStep(Queue, Priority, false, 1000);
  waiting.letIn(specOf("a", {stepOf(2), stepOf(3, true)}), Priority);
  CHECK(waiting.onProbation(Queue) == 3000);
  CHECK(waiting.aheadOf(Priority) == 3000);
  waiting.removeStarted(Queue, Priority, false, 1000);
  CHECK(waiting.onProbation(Queue) == 2000);
  waiting.beginCount({});
  CHECK_FALSE(waiting.onProbation(Queue));
  CHECK(waiting.aheadOf(Priority) == 5000);
}

TEST_CASE("Work that has started doesn't wait", "[workflow]") {
  WaitingWork waiting;
  waiting.addStep(Queue, Priority, false, 1000);
  waiting.removeStarted(Queue, Priority, false, 400);
  CHECK(waiting.aheadOf(Priority) == 600);
  waiting.removeStarted(Queue, Priority, false, 1000);
  CHECK(waiting.aheadOf(Priority) == 0);
}
