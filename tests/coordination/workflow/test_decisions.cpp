#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/runner_health.hpp"
#include "masticwinch/coordination/workflow/step_planner.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

RunnerEntry entryOf(const std::string &id, std::int64_t freeCores) {
  RunnerEntry entry;
  entry.Info = runnerOf(id);
  entry.Free = {freeCores * 1000, 131'072, 0};
  return entry;
}

std::vector<PlanCandidate> candidatesOf(const std::vector<RunnerEntry> &all) {
  std::vector<PlanCandidate> candidates;
  for (const RunnerEntry &it : all) {
    candidates.push_back({&it, it.Free, 0});
  }
  return candidates;
}

} // namespace

TEST_CASE("A gang is placed as a whole or not at all", "[workflow]") {
  const std::vector<RunnerEntry> all{entryOf("r1", 2), entryOf("r2", 1)};
  CHECK(planStep(stepOf(3, true), {0, 1, 2}, candidatesOf(all)).size() == 3);
  CHECK(planStep(stepOf(4, true), {0, 1, 2, 3}, candidatesOf(all)).empty());
  CHECK(planStep(stepOf(4), {0, 1, 2, 3}, candidatesOf(all)).size() == 3);
}

TEST_CASE("Small tasks are placed on the fullest runner", "[workflow]") {
  const std::vector<RunnerEntry> all{entryOf("empty", 32), entryOf("full", 2)};
  const auto planned = planStep(stepOf(2), {0, 1}, candidatesOf(all));
  REQUIRE(planned.size() == 2);
  CHECK(planned[0].Runner->Info.id() == "full");
  CHECK(planned[1].Runner->Info.id() == "full");
}

TEST_CASE("Small tasks first take what slots for gangs leave over",
          "[workflow]") {
  // Of 32 cores, 22 are free on one runner and 21 on the other: two slots of
  // nine cores each, with four and three cores left over.
  const RunnerEntry first = entryOf("a", 22);
  const RunnerEntry second = entryOf("b", 21);
  protocol::StepSpec small = stepOf(2);
  small.mutable_needs()->set_milli_processors(3500);
  const std::vector<PlanCandidate> candidates{{&first, first.Free, 0},
                                              {&second, second.Free, 0}};
  const auto planned = planStep(small, {0}, candidates, 9000);
  REQUIRE(planned.size() == 1);
  CHECK(planned[0].Runner == &first);
  // Without slots, the fuller runner is taken, which then has room for one.
  CHECK(planStep(small, {0}, candidates)[0].Runner == &second);
  // What is left over has room for one task only; the other one still starts.
  CHECK(planStep(small, {0, 1}, candidates, 9000).size() == 2);
}

TEST_CASE("A runner gets at most max_per_runner tasks of a step",
          "[workflow]") {
  const std::vector<RunnerEntry> all{entryOf("r1", 32), entryOf("r2", 32)};
  protocol::StepSpec step = stepOf(4);
  step.set_max_per_runner(1);
  CHECK(planStep(step, {0, 1, 2, 3}, candidatesOf(all)).size() == 2);
}

TEST_CASE("Steps that can be on time come before late ones", "[workflow]") {
  const SteadyTime now{std::chrono::seconds(100)};
  const RankingInput urgent{now - Milliseconds(5000), Milliseconds(1000), 0};
  const RankingInput patient{now, Milliseconds(9000), 2};
  const StepRank late = rankOf(urgent, Milliseconds(500), now);
  const StepRank onTime = rankOf(patient, Milliseconds(500), now);
  CHECK(late.Forecast == CompletionForecast::Missed);
  CHECK(onTime.Forecast == CompletionForecast::OnTime);
  CHECK(onTime < late);
}

TEST_CASE("The critical path of a workflow sums dependent steps",
          "[workflow]") {
  protocol::StepSpec after = stepOf(1);
  after.add_after(0);
  const auto remaining = remainingCriticalPaths(
      specOf("w", {stepOf(2), after, stepOf(1)}), configOf(1).queues(0));
  CHECK(remaining[0] == Milliseconds(2000));
  CHECK(remaining[1] == Milliseconds(1000));
  CHECK(longestCriticalPath(remaining) == Milliseconds(2000));
}

TEST_CASE(
    "Under overload, work that would end late is refused with a retry delay",
    "[workflow]") {
  const AdmissionOptions options;
  AdmissionInput input;
  input.MilliProcessors = 100'000;
  input.Slack = Milliseconds(1000);
  input.WorkAhead = 80'000;
  CHECK_FALSE(retryAfter(options, input));

  input.WorkAhead = 400'000;
  const auto wait = retryAfter(options, input);
  REQUIRE(wait);
  CHECK(*wait >= Milliseconds(3000));
}

TEST_CASE("Callers refused at the same time get different retry delays",
          "[workflow]") {
  AdmissionInput one;
  one.MilliProcessors = 1000;
  one.WorkAhead = 10'000;
  AdmissionInput other = one;
  one.Salt = 1;
  other.Salt = 700;
  CHECK(retryAfter({}, one) != retryAfter({}, other));
}

TEST_CASE("A runner that fails several workflows in a row is quarantined",
          "[workflow]") {
  RunnerHealth health({});
  const SteadyTime now{std::chrono::seconds(100)};
  CHECK_FALSE(health.runEnded("r", "w1", protocol::RUN_FAILED, 10, now));
  CHECK_FALSE(health.runEnded("r", "w1", protocol::RUN_FAILED, 10, now));
  CHECK(health.runEnded("r", "w2", protocol::RUN_FAILED, 10, now));
  CHECK(health.isQuarantined("r", now));
  CHECK_FALSE(health.isQuarantined("r", now + Milliseconds(2500)));
}

TEST_CASE("A run that is done resets the failures of its runner",
          "[workflow]") {
  RunnerHealth health({});
  const SteadyTime now{std::chrono::seconds(100)};
  health.runEnded("r", "w1", protocol::RUN_FAILED, 10, now);
  health.runEnded("r", "w2", protocol::RUN_DONE, 10, now);
  CHECK_FALSE(health.runEnded("r", "w3", protocol::RUN_FAILED, 10, now));
}

TEST_CASE("Only a share of the runners is quarantined at a time",
          "[workflow]") {
  RunnerHealth health({});
  const SteadyTime now{std::chrono::seconds(100)};
  int quarantined = 0;
  for (int i = 0; i < 10; ++i) {
    const std::string runner = "r" + std::to_string(i);
    health.runEnded(runner, "w1", protocol::RUN_FAILED, 10, now);
    quarantined += health.runEnded(runner, "w2", protocol::RUN_FAILED, 10, now);
  }
  CHECK(quarantined == 3);
}

TEST_CASE("A path is routed to the queue with the longest prefix",
          "[workflow]") {
  protocol::CellConfig config = configOf(1);
  protocol::QueueConfig *nested = config.add_queues();
  *nested = config.queues(0);
  nested->set_name("nested");
  nested->set_path_prefix("/sheets/deep/");

  CHECK(findRoute(config, "host:80", "/sheets/deep/x")->Queue->name() ==
        "nested");
  CHECK(findRoute(config, "host", "/sheets/x")->Suffix == "x");
  // Case and a final dot have no meaning in host names.
  CHECK(findRoute(config, "HOST.:80", "/sheets/x"));
  CHECK_FALSE(findRoute(config, "hos", "/sheets/x"));
  CHECK_FALSE(findRoute(config, "host..", "/sheets/x"));
  CHECK_FALSE(findRoute(config, "other", "/sheets/x"));
  CHECK_FALSE(findRoute(config, "host", "/other/x"));
}

TEST_CASE("A configuration with an unknown pool, a shared prefix or no timeout "
          "is invalid",
          "[workflow]") {
  CHECK_FALSE(validationError(configOf(1)));
  protocol::CellConfig unknown = configOf(1);
  unknown.mutable_queues(0)->set_pool("nobody");
  CHECK(validationError(unknown));
  protocol::CellConfig shared = configOf(1);
  *shared.add_queues() = shared.queues(0);
  CHECK(validationError(shared));
  shared.mutable_queues(1)->set_host("HOST.");
  CHECK(validationError(shared));
  shared.mutable_queues(1)->set_path_prefix("/other/");
  CHECK_FALSE(validationError(shared));
  protocol::CellConfig ambiguous = configOf(1);
  *ambiguous.add_pools() = ambiguous.pools(0);
  CHECK(validationError(ambiguous));
  CHECK(validationError(configOf(0)));
  protocol::CellConfig noTime = configOf(1);
  noTime.mutable_queues(0)->set_timeout_ms(0);
  CHECK(validationError(noTime));
}

TEST_CASE("A submission needs an id, tasks and steps in dependency order",
          "[workflow]") {
  const std::string id = "5c0e7a21d94b36f8";
  CHECK_FALSE(validationError(specOf(id, {stepOf(1)})));
  CHECK(validationError(specOf("short", {stepOf(1)})));
  CHECK(validationError(specOf(id, {})));
  CHECK(validationError(specOf(id, {stepOf(0)})));
  protocol::StepSpec loop = stepOf(1);
  loop.add_after(0);
  CHECK(validationError(specOf(id, {loop})));
}
