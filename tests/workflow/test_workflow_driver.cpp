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

/// A log that keeps proposed records until the test applies them.
struct FakeLog {
  control::ProposalResult propose(const std::string &record) {
    if (record.size() > MaxBytes) {
      return control::ProposalRefusal::TooLarge;
    }
    Records.push_back(record);
    Leads = Leads && !LapsesOnPropose;
    return control::LogPosition{Records.size(), Term};
  }
  bool isLeader() const { return Leads; }
  std::uint64_t term() const { return Term; }
  std::string refusal() const { return {}; }
  std::string leaderAddress() const { return {}; }
  std::vector<std::string> otherAddresses() const { return {}; }
  void resign(const std::string &) { Leads = false; }

  std::vector<std::string> Records;
  std::size_t MaxBytes = 1024 * 1024;
  std::uint64_t Term = 1;
  bool Leads = true;
  /// Whether the lease of leadership lapses while a record is proposed.
  bool LapsesOnPropose = false;
};

struct FakeSender {
  void send(const std::string &, const protocol::Envelope &envelope) {
    Sent.push_back(envelope);
  }

  std::vector<protocol::Envelope> Sent;
};

struct FakeCalls {
  void start(const StartOrder &, std::uint64_t, const OrderDone &) {}
  void stop(const StopOrder &, std::uint64_t, const OrderDone &) {}
  void poll(const PollOrder &order, std::uint64_t, const PollDone &done) {
    Polls.push_back(order.Runner);
    Acknowledged.push_back(order.EndsStored);
    PollsDone.push_back(done);
  }

  std::vector<std::string> Polls;
  /// The numbers of ends that the polls acknowledge.
  std::vector<std::uint64_t> Acknowledged;
  std::vector<PollDone> PollsDone;
};

/// A driver that leads. Its clock advances far enough between decisions for
/// each to be executed at once.
struct Fixture {
  Fixture() {
    Time.advance(std::chrono::seconds(100));
    Driver.becomeLeader();
  }

  void heartbeat(const std::string &id) {
    Time.advance(std::chrono::seconds(1));
    Driver.heartbeat(runnerOf(id), 1, 1, [this] { ++Stored; });
  }

  /// Applies `bytes` as the newest record.
  void apply(const std::string &bytes) {
    Time.advance(std::chrono::seconds(1));
    Driver.applied({Log.Records.size(), Log.Term}, bytes);
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
  int Stored = 0;
};

} // namespace

TEST_CASE("A runner id that is not valid UTF-8 is stored unchanged",
          "[workflow]") {
  Fixture control;
  control.heartbeat("\xff\xfe");
  REQUIRE(control.Log.Records.size() == 1);
  control.apply(control.Log.Records.back());
  CHECK(control.Stored == 1);
  CHECK(control.Driver.state().runners().contains("\xff\xfe"));
}

TEST_CASE("A record that can't be parsed ends the leadership, so that no "
          "decision is based on a state without it",
          "[workflow]") {
  Fixture control;
  control.heartbeat("i-1");
  REQUIRE(control.Driver.leads());
  control.apply("\xff is no record");
  CHECK_FALSE(control.Driver.leads());
  CHECK_FALSE(control.Log.Leads);
  CHECK(control.Stored == 0);

  control.Log.Leads = true;
  control.Log.Term = 2;
  control.Driver.becomeLeader();
  CHECK(control.Driver.leads());
  control.heartbeat("i-1");
  control.apply(control.Log.Records.back());
  CHECK(control.Stored == 1);
}

TEST_CASE("Orders decided when the lease lapses are sent once it is regained",
          "[workflow]") {
  Fixture control;
  control.heartbeat("i-1");
  control.apply(control.Log.Records.back());
  // The look at the runner is decided together with the next record.
  control.Driver.tick();
  control.Log.LapsesOnPropose = true;
  control.heartbeat("i-2");
  REQUIRE_FALSE(control.Driver.leads());
  CHECK(control.Calls.Polls.empty());

  control.Log.LapsesOnPropose = false;
  control.Log.Leads = true;
  control.Time.advance(std::chrono::seconds(1));
  control.Driver.becomeLeader();
  CHECK(control.Calls.Polls == std::vector<std::string>{"i-1"});
}

TEST_CASE("Orders of an earlier term are not sent", "[workflow]") {
  Fixture control;
  control.heartbeat("i-1");
  control.apply(control.Log.Records.back());
  control.Driver.tick();
  control.Log.LapsesOnPropose = true;
  control.heartbeat("i-2");
  REQUIRE_FALSE(control.Driver.leads());

  control.Log.LapsesOnPropose = false;
  control.Log.Leads = true;
  control.Log.Term = 3;
  control.Time.advance(std::chrono::seconds(1));
  control.Driver.becomeLeader();
  CHECK(control.Calls.Polls.empty());
}

TEST_CASE("A poll that is held back acknowledges no end, since the runner may "
          "have begun another life when it is sent",
          "[workflow]") {
  const bool lapses = GENERATE(true, false);
  Fixture control;
  control.heartbeat("i-1");
  control.apply(control.Log.Records.back());
  const auto tickAfter = [&](Milliseconds time) {
    control.Time.advance(time);
    control.Driver.tick();
  };
  tickAfter(Milliseconds(30));
  REQUIRE(control.Calls.PollsDone.size() == 1);
  PollAnswer answer;
  answer.Answer = OrderAnswer::Done;
  answer.Ended.push_back({3, {{{"w", 0, 0}, 0}, 1}, protocol::RUN_DONE, ""});
  control.Calls.PollsDone[0](answer);
  // Before the next poll, so that this one follows the storage of the end.
  tickAfter(Milliseconds(10));
  const std::size_t stored = control.Log.Records.size();
  control.Driver.applied({stored, control.Log.Term},
                         control.Log.Records.back());
  control.Driver.heartbeat(runnerOf("i-2"), 1, 1, [] {});
  control.Log.LapsesOnPropose = lapses;
  tickAfter(Milliseconds(30));
  if (lapses) {
    REQUIRE(control.Calls.Polls.size() == 1);
    control.Log.LapsesOnPropose = false;
    control.Log.Leads = true;
    control.Time.advance(Milliseconds(30));
    control.Driver.becomeLeader();
  }
  REQUIRE(control.Calls.Acknowledged.size() == 2);
  CHECK(control.Calls.Acknowledged[1] == (lapses ? 0 : 3));
}

// Guards against a leader that tries a record for ever that can't be stored,
// while everything else waits behind it.
TEST_CASE("A record that is too large for the log ends the leadership, and "
          "nothing waits behind it",
          "[workflow]") {
  Fixture control;
  control.Log.MaxBytes = 1;
  control.heartbeat("i-1");
  CHECK_FALSE(control.Log.Leads);
  CHECK(control.Log.Records.empty());

  control.Log.MaxBytes = 1024 * 1024;
  control.Log.Leads = true;
  control.Log.Term = 2;
  control.Driver.becomeLeader();
  control.heartbeat("i-2");
  REQUIRE(control.Log.Records.size() == 1);
  control.apply(control.Log.Records.back());
  CHECK(control.Stored == 1);
  CHECK(control.Driver.state().runners().contains("i-2"));
}

TEST_CASE("A submission that waited too long for the control thread is refused "
          "and not stored",
          "[workflow]") {
  Fixture control;
  control.heartbeat("i-1");
  control.apply(control.Log.Records.back());
  protocol::WorkflowRecord configured;
  *configured.add_changes()->mutable_configure() = configOf(1);
  control.apply(configured.SerializeAsString());
  const std::size_t stored = control.Log.Records.size();
  protocol::Envelope envelope;
  envelope.set_reply_address("tcp://127.0.0.1:1");
  protocol::WorkflowCall &call = *envelope.mutable_workflow_call();
  call.set_host("host");
  call.set_path("/sheets/000000000000000a");
  *call.mutable_submit() = specOf("000000000000000a", {stepOf(1)});
  const auto receiveAfter = [&](Milliseconds delay) {
    control.Time.advance(std::chrono::seconds(1));
    control.Driver.messageDelayed(delay);
    control.Driver.receive(envelope);
  };
  receiveAfter(CallDelayOptions().MaxDelay + Milliseconds(1));
  REQUIRE(control.Sender.Sent.size() == 1);
  const protocol::WorkflowAnswer &answer =
      control.Sender.Sent.back().workflow_answer();
  CHECK(answer.verdict() == protocol::VERDICT_REFUSED);
  CHECK(answer.retry_after_ms() > 0);
  CHECK(control.Log.Records.size() == stored);
  receiveAfter(Milliseconds(0));
  CHECK(control.Log.Records.size() == stored + 1);
}

// Guards against figures of a former leader, which another VM's page of
// accounts would contradict.
TEST_CASE("Only a VM that leads states the figures of accounts", "[workflow]") {
  Fixture control;
  CHECK(control.Driver.accountLoads().has_value());
  control.Log.Leads = false;
  CHECK_FALSE(control.Driver.accountLoads().has_value());
}

// Guards against a submission that was refused by one leader and accepted later
// by another, which had got a copy when it led before.
TEST_CASE("A call that was sent to the leader of another term isn't handled",
          "[workflow]") {
  Fixture control;
  const auto verdictFor = [&](std::uint64_t term) {
    protocol::Envelope envelope;
    envelope.set_reply_address("tcp://entry");
    envelope.mutable_workflow_call()->set_leader_term(term);
    envelope.mutable_workflow_call()->set_host("host");
    envelope.mutable_workflow_call()->mutable_length();
    control.Sender.Sent.clear();
    control.Driver.receive(envelope);
    REQUIRE(control.Sender.Sent.size() == 1);
    return control.Sender.Sent[0].workflow_answer().verdict();
  };
  CHECK(verdictFor(control.Log.Term + 1) == protocol::VERDICT_NOT_LEADING);
  CHECK(verdictFor(control.Log.Term) != protocol::VERDICT_NOT_LEADING);
  CHECK(verdictFor(0) != protocol::VERDICT_NOT_LEADING);
  control.Log.Term = 7;
  control.Driver.becomeLeader();
  CHECK(verdictFor(1) == protocol::VERDICT_NOT_LEADING);
  CHECK(verdictFor(7) != protocol::VERDICT_NOT_LEADING);
}

TEST_CASE("A leader states its term in welcomes", "[workflow]") {
  Fixture control;
  protocol::Envelope envelope;
  envelope.mutable_agent_hello()->set_sequence(1);
  control.Driver.receive(envelope);
  REQUIRE(control.Sender.Sent.size() == 1);
  CHECK(control.Sender.Sent[0].agent_welcome().term() == control.Log.Term);
}
