#include <catch2/catch.hpp>

#include "tests/coordination/workflow/led_cell.hpp"
#include <functional>
#include <map>
#include <set>

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

const std::string Job = "000000000000000a";
constexpr int RunnerCount = 24;

std::string runnerId(int number) { return "i-" + std::to_string(number); }

/// A state whose queue needs advice. The runners with even numbers have the
/// label "even".
WorkflowState stateWithAdvice() {
  WorkflowState state;
  protocol::WorkflowChange configured;
  *configured.mutable_configure() = configOf(1);
  protocol::AdviceTerms *terms =
      configured.mutable_configure()->mutable_queues(0)->mutable_advice();
  terms->set_decision_us(1000);
  terms->set_per_runner_us(100);
  terms->set_validity_ms(1500);
  state.apply(configured);
  for (int i = 0; i < RunnerCount; ++i) {
    protocol::WorkflowChange change;
    protocol::RunnerInfo &info = *change.mutable_runner()->mutable_runner();
    info = runnerOf(runnerId(i));
    if (i % 2 == 0) {
      info.add_labels("even");
    }
    state.apply(change);
  }
  return state;
}

bool isEven(const std::string &runner) {
  return std::stoi(runner.substr(2)) % 2 == 0;
}

/// A cell without other work, whose runners answer each poll. The service
/// approves few of the runners that the first call names, and all others.
struct Fixture : LedCell {
  using Runners = std::vector<std::string>;
  /// Returns the approved ones of the runners that the first call names.
  using FirstApproval = std::function<Runners(const Runners &)>;

  explicit Fixture(FirstApproval approval)
      : LedCell(stateWithAdvice()), Approval(std::move(approval)) {
    passAnswering(Milliseconds(200));
  }

  void passAnswering(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += SchedulingTime) {
      Leader.agentSeen("agent", Now);
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
      for (const AdviceCall &it : std::exchange(Advice, {})) {
        advise(it);
      }
    }
  }

  void advise(const AdviceCall &call) {
    if (Asked.empty()) {
      Refused = {call.Runners.begin(), call.Runners.end()};
      for (const std::string &it : Approval(call.Runners)) {
        Refused.erase(it);
      }
    }
    protocol::AdviceResult result;
    result.set_order(call.Order);
    result.set_answered(true);
    for (const std::string &it : call.Runners) {
      Asked.insert(it);
      if (!Refused.contains(it)) {
        protocol::ApprovedRunner *approved = result.add_approved();
        approved->set_runner(it);
        approved->set_ticket("ticket");
      }
    }
    Leader.adviceAnswered(result, Now);
  }

  FirstApproval Approval;
  std::set<std::string> Refused;
  std::set<std::string> Asked;
  std::size_t AnsweredStarts = 0;
  std::map<std::string, std::vector<RunningRun>> Running;
  std::map<std::string, std::vector<EndedRun>> Ended;
};

} // namespace

TEST_CASE("A gang whose approved runners lack its label asks about others",
          "[workflow]") {
  Fixture cell([](Fixture::Runners named) {
    std::erase_if(named, isEven);
    return named;
  });
  protocol::StepSpec gang = stepOf(2, true);
  gang.set_required_label("even");
  cell.submit(Job, {gang});
  cell.passAnswering(Milliseconds(10'000));
  CHECK(cell.Asked.size() == RunnerCount);
  CHECK(cell.Starts.size() == 2);
}

TEST_CASE("A gang with too few approved runners for its tasks per runner asks "
          "about others",
          "[workflow]") {
  Fixture cell([](const Fixture::Runners &named) {
    return Fixture::Runners{named.front()};
  });
  protocol::StepSpec gang = stepOf(2, true);
  gang.set_max_per_runner(1);
  cell.submit(Job, {gang});
  cell.passAnswering(Milliseconds(10'000));
  CHECK(cell.Asked.size() == RunnerCount);
  CHECK(cell.Starts.size() == 2);
}

TEST_CASE("A gang that failed on one of its approved runners asks about others",
          "[workflow]") {
  Fixture cell([](const Fixture::Runners &named) {
    return Fixture::Runners{named[0], named[1]};
  });
  protocol::StepSpec gang = stepOf(2, true);
  gang.mutable_needs()->set_milli_processors(20'000);
  cell.submit(Job, {gang});
  cell.passAnswering(Milliseconds(100));
  REQUIRE(cell.Starts.size() == 2);
  const StartOrder failed = cell.Starts[0];
  const StartOrder broken = cell.Starts[1];
  REQUIRE(failed.Runner != broken.Runner);
  cell.Running.clear();
  cell.Ended[failed.Runner] = {{1, failed.Run, protocol::RUN_FAILED, ""}};
  cell.Ended[broken.Runner] = {{1, broken.Run, protocol::RUN_BROKEN, ""}};

  cell.passAnswering(Milliseconds(10'000));
  REQUIRE(cell.phase(Job) == Phase::Running);
  CHECK(cell.Asked.size() == RunnerCount);
  CHECK(cell.Starts.size() == 4);
}
