#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using workflow::Phase;
using workflow::StepKey;
using workflow::TaskKey;
using workflow::WorkflowState;

namespace {

const StepKey First{"w", 0, 0};
const StepKey Second{"w", 0, 1};

WorkflowState stateWith(const std::vector<protocol::StepSpec> &steps) {
  WorkflowState state;
  state.apply(acceptOf(specOf("w", steps)));
  return state;
}

void runTask(WorkflowState &state, const TaskKey &task, std::uint32_t run,
             protocol::RunEnd how) {
  state.apply(assignOf(task, run, "r"));
  state.apply(endOf(task, run, "r", how));
}

} // namespace

TEST_CASE("A workflow is completed when every task is done", "[workflow]") {
  WorkflowState state = stateWith({stepOf(2)});
  CHECK(state.find("w")->CurrentPhase == Phase::Queued);

  runTask(state, {First, 0}, 1, protocol::RUN_DONE);
  CHECK(state.find("w")->CurrentPhase == Phase::Running);
  runTask(state, {First, 1}, 1, protocol::RUN_DONE);
  CHECK(state.find("w")->CurrentPhase == Phase::Completed);
}

TEST_CASE("A step is ready once the steps it depends on are done",
          "[workflow]") {
  protocol::StepSpec after = stepOf(1);
  after.add_after(0);
  WorkflowState state = stateWith({stepOf(1), after});
  CHECK(state.isReady(First));
  CHECK_FALSE(state.isReady(Second));

  runTask(state, {First, 0}, 1, protocol::RUN_DONE);
  CHECK(state.isReady(Second));
}

TEST_CASE("An end applies only to the latest run on its runner", "[workflow]") {
  WorkflowState state = stateWith({stepOf(1)});
  state.apply(assignOf({First, 0}, 1, "r1"));
  state.apply(endOf({First, 0}, 1, "r2", protocol::RUN_DONE));
  state.apply(endOf({First, 0}, 2, "r1", protocol::RUN_DONE));
  CHECK(state.find("w")->CurrentPhase == Phase::Running);

  state.apply(endOf({First, 0}, 1, "r1", protocol::RUN_LAPSED));
  state.apply(assignOf({First, 0}, 2, "r2"));
  state.apply(endOf({First, 0}, 1, "r1", protocol::RUN_DONE));
  CHECK_FALSE(state.findTask({First, 0})->Done);
}

TEST_CASE("A task that a runner may still run is not assigned again",
          "[workflow]") {
  WorkflowState state = stateWith({stepOf(1)});
  state.apply(assignOf({First, 0}, 1, "r1"));
  state.apply(assignOf({First, 0}, 2, "r2"));
  CHECK(state.findTask({First, 0})->Runner == "r1");
}

TEST_CASE("Only failed runs count as attempts", "[workflow]") {
  WorkflowState state = stateWith({stepOf(1)});
  runTask(state, {First, 0}, 1, protocol::RUN_LOST);
  runTask(state, {First, 0}, 2, protocol::RUN_LAPSED);
  runTask(state, {First, 0}, 3, protocol::RUN_FAILED);
  CHECK(state.find("w")->CurrentPhase == Phase::Running);
  runTask(state, {First, 0}, 4, protocol::RUN_FAILED);
  CHECK(state.find("w")->CurrentPhase == Phase::Failed);
}

TEST_CASE("A run of a gang counts as one failure", "[workflow]") {
  WorkflowState state = stateWith({stepOf(2, true)});
  state.apply(assignOf({First, 0}, 1, "r1"));
  state.apply(assignOf({First, 1}, 1, "r2"));
  state.apply(endOf({First, 0}, 1, "r1", protocol::RUN_FAILED));
  state.apply(endOf({First, 1}, 1, "r2", protocol::RUN_FAILED));
  CHECK(state.find("w")->CurrentPhase == Phase::Running);
}

TEST_CASE("The first member that is done completes its gang", "[workflow]") {
  WorkflowState state = stateWith({stepOf(2, true)});
  state.apply(assignOf({First, 0}, 1, "r1"));
  state.apply(assignOf({First, 1}, 1, "r2"));
  state.apply(endOf({First, 0}, 1, "r1", protocol::RUN_DONE));
  CHECK(state.find("w")->CurrentPhase == Phase::Completed);
}

TEST_CASE("A cancelled workflow keeps the runs that runners may still have",
          "[workflow]") {
  WorkflowState state = stateWith({stepOf(2)});
  state.apply(assignOf({First, 0}, 1, "r1"));
  state.apply(cancelOf("w"));
  CHECK(state.find("w")->CurrentPhase == Phase::Cancelled);
  REQUIRE(state.findTask({First, 0}));

  state.apply(assignOf({First, 1}, 1, "r1"));
  CHECK(state.findTask({First, 1})->Runner.empty());
  state.apply(endOf({First, 0}, 1, "r1", protocol::RUN_STOPPED));
  CHECK(state.find("w")->Occurrences.empty());
}

TEST_CASE("A repeated submission has no effect", "[workflow]") {
  WorkflowState state = stateWith({stepOf(1)});
  runTask(state, {First, 0}, 1, protocol::RUN_DONE);
  state.apply(acceptOf(specOf("w", {stepOf(3)})));
  CHECK(state.find("w")->CurrentPhase == Phase::Completed);
  CHECK(state.find("w")->Spec.steps(0).count() == 1);
}

TEST_CASE("An older configuration is ignored", "[workflow]") {
  WorkflowState state;
  protocol::WorkflowChange change;
  *change.mutable_configure() = configOf(7);
  state.apply(change);
  *change.mutable_configure() = configOf(4);
  state.apply(change);
  CHECK(state.config().version() == 7);
}

TEST_CASE("A recurring workflow completes with its last occurrence",
          "[workflow]") {
  protocol::WorkflowSpec spec = specOf("w", {stepOf(1)});
  spec.set_repeats(2);
  WorkflowState state;
  state.apply(acceptOf(spec));
  CHECK_FALSE(state.findTask({First, 0}));

  for (std::uint32_t k = 0; k < 2; ++k) {
    CHECK(state.find("w")->CurrentPhase != Phase::Completed);
    protocol::WorkflowChange begin;
    begin.mutable_begin()->set_workflow("w");
    begin.mutable_begin()->set_occurrence(k);
    state.apply(begin);
    runTask(state, {{"w", k, 0}, 0}, 1, protocol::RUN_DONE);
  }
  CHECK(state.find("w")->CurrentPhase == Phase::Completed);
}

TEST_CASE("Snapshots preserve the state after any history", "[workflow]") {
  const bool held = rc::check([] {
    WorkflowState state;
    WorkflowState restored;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const std::string id(1, char('a' + *rc::gen::inRange(0, 3)));
      const TaskKey task{{id, 0, *rc::gen::inRange<std::uint32_t>(0, 2)},
                         *rc::gen::inRange<std::uint32_t>(0, 3)};
      const auto run = *rc::gen::inRange<std::uint32_t>(1, 5);
      const std::string runner =
          *rc::gen::elementOf(std::vector<std::string>{"r1", "r2"});
      protocol::WorkflowChange change;
      switch (*rc::gen::inRange(0, 5)) {
      case 0: {
        protocol::StepSpec after = stepOf(2);
        after.add_after(0);
        change = acceptOf(specOf(id, {stepOf(2, true), after}));
        break;
      }
      case 1:
        change = cancelOf(id);
        break;
      case 2:
        change = endOf(
            task, run, runner,
            *rc::gen::elementOf(std::vector<protocol::RunEnd>{
                protocol::RUN_DONE, protocol::RUN_FAILED, protocol::RUN_LOST}));
        break;
      default:
        change = assignOf(task, run, runner);
      }
      state.apply(change);
      WorkflowState copy;
      copy.restore(restored.snapshot());
      copy.apply(change);
      restored = copy;
    }
    RC_ASSERT(state.snapshot().SerializeAsString() ==
              restored.snapshot().SerializeAsString());
  });
  CHECK(held);
}

TEST_CASE("A workflow whose runs were all lost has not started", "[workflow]") {
  WorkflowState state = stateWith({stepOf(1)});
  runTask(state, {First, 0}, 1, protocol::RUN_LOST);
  CHECK_FALSE(state.find("w")->Started);
  runTask(state, {First, 0}, 2, protocol::RUN_FAILED);
  CHECK(state.find("w")->Started);
}

namespace {

protocol::WorkflowChange recordOf(std::uint64_t born) {
  protocol::WorkflowChange change;
  *change.mutable_runner()->mutable_runner() = runnerOf("i-1");
  change.mutable_runner()->mutable_runner()->set_born_unix_ms(born);
  return change;
}

protocol::WorkflowChange forgetOf(std::uint64_t born) {
  protocol::WorkflowChange change;
  change.mutable_forget_runner()->set_id("i-1");
  change.mutable_forget_runner()->set_born_unix_ms(born);
  return change;
}

} // namespace

TEST_CASE("A record of a runner's former life does not replace a later one",
          "[workflow]") {
  WorkflowState state;
  state.apply(recordOf(2));
  state.apply(recordOf(1));
  CHECK(state.runners().at("i-1").born_unix_ms() == 2);
  state.apply(recordOf(3));
  CHECK(state.runners().at("i-1").born_unix_ms() == 3);
}

TEST_CASE("Forgetting a runner's former life does not forget a later one",
          "[workflow]") {
  WorkflowState state;
  state.apply(recordOf(2));
  state.apply(forgetOf(1));
  CHECK(state.runners().contains("i-1"));
  state.apply(forgetOf(2));
  CHECK_FALSE(state.runners().contains("i-1"));
}

// Guards against a job that is given up for crashes after its runs had ended.
TEST_CASE("A crash of a runner after it has reported the end of a run is not "
          "counted against the task",
          "[workflow]") {
  WorkflowState state;
  state.apply(acceptOf(specOf("w", {stepOf(1)}), 10));
  const TaskKey task{{"w", 0, 0}, 0};
  for (std::uint32_t run = 1; run <= workflow::MaxCrashes; ++run) {
    state.apply(assignOf(task, run, "r"));
    protocol::WorkflowChange exposed;
    exposed.mutable_expose()->set_runner("r");
    protocol::ExposedRun *it = exposed.mutable_expose()->add_runs();
    *it->mutable_task() = refOf(task);
    it->set_run(run);
    it->set_suspected(true);
    state.apply(exposed);
    state.apply(endOf(task, run, "r", protocol::RUN_FAILED));
    protocol::WorkflowChange resolved;
    resolved.mutable_resolve()->set_runner("r");
    resolved.mutable_resolve()->set_crashed(true);
    state.apply(resolved);
  }
  CHECK(state.find("w")->CurrentPhase == Phase::Running);
  REQUIRE(state.findTask(task));
  CHECK(state.findTask(task)->Crashes == 0);
}
