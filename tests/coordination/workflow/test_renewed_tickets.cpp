#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>
#include <map>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

constexpr int LowRunners = 90;
constexpr int HighRunners = 30;
constexpr int AgentCount = 40;

/// 120 runners with 32 cores each. The last 30 in the order of their ids have
/// the label "high", the others "low". Calls for advice are slow.
WorkflowState fleetWithSlowAdvice() {
  WorkflowState state;
  protocol::WorkflowChange configured;
  *configured.mutable_configure() = configOf(1);
  protocol::AdviceTerms *terms =
      configured.mutable_configure()->mutable_queues(0)->mutable_advice();
  terms->set_decision_us(500'000);
  terms->set_per_runner_us(7000);
  terms->set_validity_ms(2000);
  state.apply(configured);
  for (int i = 0; i < LowRunners + HighRunners; ++i) {
    protocol::WorkflowChange change;
    protocol::RunnerInfo &info = *change.mutable_runner()->mutable_runner();
    info = runnerOf("i-" + std::to_string(100 + i));
    info.add_labels(i < LowRunners ? "low" : "high");
    state.apply(change);
  }
  return state;
}

/// A cell whose runners answer each poll and whose advice service approves all
/// runners.
struct ApprovingCell : LedCell {
  ApprovingCell() : LedCell(fleetWithSlowAdvice()) {
    advance(Milliseconds(200));
  }

  void advance(Milliseconds time, bool answerAdvice = true) {
    for (Milliseconds passed{0}; passed < time; passed += SchedulingTime) {
      for (int i = 0; i < AgentCount; ++i) {
        Leader.agentSeen("agent-" + std::to_string(i), Now);
      }
      pass(SchedulingTime);
      for (; AnsweredStarts < Starts.size(); ++AnsweredStarts) {
        const StartOrder &it = Starts[AnsweredStarts];
        Running[it.Runner].push_back({it.Run, ""});
        Leader.startAnswered(it, OrderAnswer::Done, Now);
      }
      for (const PollOrder &it : std::exchange(Polls, {})) {
        PollAnswer answer;
        answer.Answer = OrderAnswer::Done;
        answer.ClockMs = std::int64_t(Now.UnixMs);
        answer.Running = Running[it.Runner];
        answer.Ended = Ended[it.Runner];
        Leader.pollAnswered(it, answer, Now);
      }
      if (answerAdvice) {
        for (const AdviceCall &it : std::exchange(Advice, {})) {
          approveAll(it);
        }
      }
    }
  }

  void approveAll(const AdviceCall &call) {
    protocol::AdviceResult result;
    result.set_order(call.Order);
    result.set_answered(true);
    for (const std::string &it : call.Runners) {
      protocol::ApprovedRunner *approved = result.add_approved();
      approved->set_runner(it);
      approved->set_ticket("ticket");
    }
    Leader.adviceAnswered(result, Now);
  }

  void endRunsOf(const std::string &job) {
    for (auto &[runner, runs] : Running) {
      const auto ended =
          std::stable_partition(runs.begin(), runs.end(), [&](const auto &it) {
            return it.Run.Task.Step.Workflow != job;
          });
      for (auto it = ended; it != runs.end(); ++it) {
        Ended[runner].push_back(
            {Ended[runner].size() + 1, it->Run, protocol::RUN_DONE, ""});
      }
      runs.erase(ended, runs.end());
    }
  }

  std::ptrdiff_t startsOf(const std::string &job) const {
    return std::count_if(Starts.begin(), Starts.end(), [&](const auto &it) {
      return it.Run.Task.Step.Workflow == job;
    });
  }

  std::size_t AnsweredStarts = 0;
  std::map<std::string, std::vector<RunningRun>> Running;
  std::map<std::string, std::vector<EndedRun>> Ended;
};

protocol::StepSpec stepOn(const std::string &label, std::uint32_t tasks,
                          std::uint32_t cores) {
  protocol::StepSpec step = stepOf(tasks);
  step.set_required_label(label);
  step.mutable_needs()->set_milli_processors(cores * 1000);
  step.set_estimate_ms(20'000);
  return step;
}

} // namespace

// The tickets of the first 80 runners by id were renewed, with room or without.
TEST_CASE("A wide gang starts as soon as it fits, since its tickets are valid "
          "where it finds room",
          "[workflow]") {
  ApprovingCell cell;
  const std::string full = "000000000000000a";
  const std::string half = "000000000000000b";
  const std::string gang = "000000000000000c";
  cell.submit(full, {stepOn("low", LowRunners, 32)});
  cell.submit(half, {stepOn("high", HighRunners, 20)});
  cell.advance(Milliseconds(1000));
  REQUIRE(cell.Starts.size() == LowRunners + HighRunners);
  protocol::StepSpec wide = stepOf(45, true);
  wide.mutable_needs()->set_milli_processors(12'000);
  cell.submit(gang, {wide});
  cell.advance(Milliseconds(5000));
  REQUIRE(cell.startsOf(gang) == 0);

  cell.endRunsOf(half);
  cell.advance(Milliseconds(300), false);
  CHECK(cell.startsOf(gang) == 45);
}

// While runners were drained for a step, only their tickets were renewed.
TEST_CASE("A gang that runners are drained for starts where it fits first",
          "[workflow]") {
  ApprovingCell cell;
  const std::string full = "000000000000000a";
  const std::string half = "000000000000000b";
  const std::string gang = "000000000000000c";
  protocol::StepSpec low = stepOn("low", LowRunners, 32);
  low.set_estimate_ms(15'000);
  protocol::StepSpec high = stepOn("high", HighRunners, 20);
  high.set_estimate_ms(15'000);
  cell.submit(full, {low});
  cell.submit(half, {high});
  cell.advance(Milliseconds(1000));
  REQUIRE(cell.Starts.size() == LowRunners + HighRunners);
  protocol::StepSpec wide = stepOf(45, true);
  wide.mutable_needs()->set_milli_processors(12'000);
  cell.submit(gang, {wide});
  // The gang is overdue; the drained runners are among the first ones, which
  // have the most room once they are empty.
  cell.advance(Milliseconds(14'000));
  REQUIRE(cell.startsOf(gang) == 0);

  cell.endRunsOf(half);
  cell.advance(Milliseconds(300), false);
  CHECK(cell.startsOf(gang) == 45);
}
