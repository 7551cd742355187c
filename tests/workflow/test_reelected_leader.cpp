#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/workflow/workflow_driver.hpp"

#include <catch2/catch.hpp>

#include "tests/coordination/workflow/workflow_records.hpp"

using namespace masticwinch;
using namespace masticwinch::tests;
using namespace masticwinch::workflow;

namespace {

struct FakeLog {
  control::ProposalResult propose(const std::string &record) {
    Proposed.push_back(record);
    return control::LogPosition{++LastIndex, Term};
  }
  bool isLeader() const { return Leads; }
  std::uint64_t term() const { return Term; }
  std::string refusal() const { return {}; }
  std::string leaderAddress() const { return {}; }
  std::vector<std::string> otherAddresses() const { return {}; }
  void resign(const std::string &) { Leads = false; }

  std::vector<std::string> Proposed;
  std::uint64_t LastIndex = 0;
  std::uint64_t Term = 0;
  bool Leads = false;
};

struct FakeSender {
  void send(const std::string &, const protocol::Envelope &envelope) {
    if (envelope.has_advice_order()) {
      Advice.push_back(envelope.advice_order());
    }
  }

  std::vector<protocol::AdviceOrder> Advice;
};

/// Collects orders; the fixture answers the polls.
struct FakeCalls {
  void start(const StartOrder &order, std::uint64_t, const OrderDone &) {
    Starts.push_back(order);
  }
  void stop(const StopOrder &, std::uint64_t, const OrderDone &) {}
  void poll(const PollOrder &, std::uint64_t, const PollDone &done) {
    Polls.push_back(done);
  }

  std::vector<StartOrder> Starts;
  std::vector<PollDone> Polls;
};

/// A control VM of a cell whose queue needs advice, with one runner and an
/// agent for the calls.
struct Fixture {
  Fixture() {
    Time.advance(std::chrono::seconds(100));
    protocol::WorkflowChange configured;
    *configured.mutable_configure() = configOf(1);
    protocol::AdviceTerms *terms =
        configured.mutable_configure()->mutable_queues(0)->mutable_advice();
    terms->set_decision_us(10'000);
    terms->set_per_runner_us(100);
    terms->set_validity_ms(1500);
    store(configured);
    protocol::WorkflowChange runner;
    *runner.mutable_runner()->mutable_runner() = runnerOf("i-1");
    store(runner);
  }

  /// Applies a change that another leader has stored.
  void store(const protocol::WorkflowChange &change) {
    protocol::WorkflowRecord record;
    *record.add_changes() = change;
    Driver.applied({++Log.LastIndex, Log.Term}, record.SerializeAsString());
  }

  void lead(std::uint64_t term) {
    Log.Term = term;
    Log.Leads = true;
    Driver.becomeLeader();
    for (int i = 0; i < 10; ++i) {
      pass();
    }
  }

  void pass() {
    Time.advance(Milliseconds(20));
    protocol::Envelope hello;
    hello.mutable_agent_hello();
    hello.set_reply_address("agent");
    Driver.receive(hello);
    Driver.tick();
    for (const PollDone &it : std::exchange(Calls.Polls, {})) {
      PollAnswer answer;
      answer.Answer = OrderAnswer::Done;
      answer.ClockMs = 1;
      it(answer);
    }
    for (const std::string &it : std::exchange(Log.Proposed, {})) {
      Driver.applied({Log.LastIndex, Log.Term}, it);
    }
  }

  void approve(const protocol::AdviceOrder &order) {
    protocol::Envelope envelope;
    protocol::AdviceResult *result = envelope.mutable_advice_result();
    result->set_order(order.order());
    result->set_answered(true);
    protocol::ApprovedRunner *approved = result->add_approved();
    approved->set_runner("i-1");
    approved->set_ticket("ticket for " + order.step().workflow());
    Driver.receive(envelope);
  }

  ManualClock Time;
  EventLog Events{{"control", 1, "/dev/null"}, Time};
  MetricRegistry Metrics;
  asio::io_context Context;
  FakeLog Log;
  FakeSender Sender;
  FakeCalls Calls;
  WorkflowDriver<FakeLog, FakeSender, FakeCalls> Driver{
      Context, Log, Sender, Calls, Time, Events, Metrics, {}};
};

} // namespace

TEST_CASE("Advice that a VM asked for in an earlier term is not taken for that "
          "on another step",
          "[workflow]") {
  const std::string first = "000000000000000a";
  const std::string second = "000000000000000b";
  Fixture control;
  control.store(acceptOf(specOf(first, {stepOf(1)})));
  control.lead(1);
  REQUIRE(control.Sender.Advice.size() == 1);

  control.Log.Leads = false;
  control.store(cancelOf(first));
  control.store(acceptOf(specOf(second, {stepOf(1)})));
  control.lead(3);
  REQUIRE(control.Sender.Advice.size() == 2);

  control.approve(control.Sender.Advice[0]);
  control.pass();
  control.pass();
  CHECK(control.Calls.Starts.empty());

  control.approve(control.Sender.Advice[1]);
  control.pass();
  control.pass();
  REQUIRE(control.Calls.Starts.size() == 1);
  CHECK(control.Calls.Starts[0].Ticket == "ticket for " + second);
}
