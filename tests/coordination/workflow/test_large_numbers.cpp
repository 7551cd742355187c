#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/overdue_share.hpp"
#include "masticwinch/coordination/workflow/refused_submissions.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <limits>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};
constexpr std::uint32_t Largest32 = std::numeric_limits<std::uint32_t>::max();
/// A thousand of it, or two, don't fit into 64 bits.
constexpr std::uint64_t LargeWork = std::uint64_t(1) << 61;

/// A step whose duration and processors are the largest that can be stated.
protocol::StepSpec largestStep(std::uint32_t count) {
  protocol::StepSpec step = stepOf(count);
  step.set_estimate_ms(Largest32);
  step.mutable_needs()->set_milli_processors(Largest32);
  return step;
}

} // namespace

TEST_CASE("The work of more tasks is not less, however large they are",
          "[workflow]") {
  const std::uint64_t one = estimatedWork(specOf("a", {largestStep(1)}));
  for (std::uint32_t count : {2U, 1001U, 20'000U}) {
    CHECK(estimatedWork(specOf("a", {largestStep(count)})) >= one);
  }
}

TEST_CASE("A submission behind work that takes for ever is refused",
          "[workflow]") {
  AdmissionInput input;
  input.MilliProcessors = 100'000;
  input.Slack = Milliseconds(1000);
  input.WorkAhead = LargeWork;
  CHECK(retryAfter({}, input));
}

TEST_CASE("There is no room soon behind work that takes for ever",
          "[workflow]") {
  RefusedSubmissions turns{{}};
  turns.add({"a", 0, MaxEstimatedWork}, Start);
  CHECK(turns.untilRoom(0, {LargeWork, 1000, Milliseconds(0)}, Start) ==
        LongestWait);
}

TEST_CASE("Overdue work that takes for ever is not worked off soon",
          "[workflow]") {
  OverdueShare share{{}};
  share.accrue("prices", 1000, Start);
  share.setBacklogs("prices", {{"sheets", LargeWork}});
  CHECK(share.drainTime("prices", "sheets", 0) == LongestWait);
}

TEST_CASE("An objective is not less with a longer path or a larger stretch",
          "[workflow]") {
  protocol::QueueConfig queue;
  queue.set_latency_target_ms(1000);
  const Milliseconds path = Milliseconds(4 * std::int64_t(Largest32));
  Milliseconds last(0);
  for (std::uint32_t stretch : {2000U, 1'000'000U, 1'000'000'000U}) {
    queue.set_stretch_permille(stretch);
    CHECK(objectiveOf(path, queue) > last);
    last = objectiveOf(path, queue);
  }
  CHECK(last == LongestObjective);
}

TEST_CASE("A workflow with a long path is let into an idle pool however large "
          "the queue's stretch is",
          "[workflow]") {
  WorkflowState state;
  protocol::WorkflowChange configured;
  *configured.mutable_configure() = configOf(1);
  configured.mutable_configure()->mutable_queues(0)->set_stretch_permille(
      1'000'000'000);
  state.apply(configured);
  LedCell cell(std::move(state));
  cell.heartbeat(runnerOf("r"), 1, 1);
  std::vector<protocol::StepSpec> chain;
  for (std::uint32_t i = 0; i < 4; ++i) {
    chain.push_back(stepOf(1));
    chain.back().set_estimate_ms(Largest32);
    if (i > 0) {
      chain.back().add_after(i - 1);
    }
  }
  cell.submit("00000000000000a1", chain);
  CHECK(cell.State.find("00000000000000a1"));
}

TEST_CASE("An occurrence whose time doesn't fit is never due", "[workflow]") {
  const std::string id = "00000000000000a1";
  LedCell cell;
  cell.heartbeat(runnerOf("r"), 1, 1);
  protocol::WorkflowCall call;
  call.set_host("host");
  call.set_path("/sheets/" + id);
  *call.mutable_submit() = specOf(id, {stepOf(1)});
  call.mutable_submit()->set_repeats(3);
  call.mutable_submit()->set_first_at_unix_ms(cell.Now.UnixMs);
  call.mutable_submit()->set_interval_ms(
      std::numeric_limits<std::uint64_t>::max());
  cell.Leader.call(
      call, [](const protocol::WorkflowAnswer &) {}, cell.Now);
  for (int i = 0; i < 5; ++i) {
    cell.pass(LedCell::SchedulingTime);
  }
  REQUIRE(cell.State.find(id));
  CHECK(cell.State.find(id)->OccurrencesBegun == 1);
}

TEST_CASE("A task that needs more memory than a signed number holds starts "
          "nowhere",
          "[workflow]") {
  LedCell cell;
  cell.heartbeat(runnerOf("r"), 1, 1);
  cell.pass(LedCell::SchedulingTime);
  cell.answerPoll({});
  protocol::StepSpec step = stepOf(1);
  for (std::uint64_t memory :
       {std::numeric_limits<std::uint64_t>::max(), std::uint64_t(1) << 63}) {
    step.mutable_needs()->set_memory_mb(memory);
    cell.submit("00000000000000a1", {step});
    cell.pass(LedCell::SchedulingTime);
    CHECK_FALSE(cell.State.find("00000000000000a1"));
  }
  CHECK(cell.Starts.empty());
  cell.submit("00000000000000a2");
  cell.pass(LedCell::SchedulingTime);
  CHECK(cell.Starts.size() == 1);
}
