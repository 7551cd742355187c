#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/workflow/entry_gateway.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

/// A gateway with a manual clock and a control VM at whose address nobody
/// listens.
struct Fixture {
  explicit Fixture(EntryGatewayOptions options = {})
      : Options(std::move(options)) {
    Time.advance(std::chrono::seconds(100));
  }

  EntryGatewayOptions optionsWithControl() const {
    EntryGatewayOptions options = Options;
    options.Controls = {Control};
    return options;
  }

  /// Begins a call; returns its outcome if it ended at once.
  std::optional<CallOutcome> call(Milliseconds timeout = Milliseconds(2000),
                                  const protocol::WorkflowCall &call = {}) {
    std::optional<CallOutcome> outcome;
    Gateway.call(call, timeout,
                 [&](CallOutcome it, const protocol::WorkflowAnswer &) {
                   outcome = it;
                 });
    return outcome;
  }

  void welcome(bool leads, std::uint64_t sequence = 0) {
    welcomeFrom(Control, leads, sequence);
  }

  void welcomeFrom(const std::string &control, bool leads,
                   std::uint64_t sequence = 0, std::uint64_t term = 0) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    envelope.mutable_agent_welcome()->set_term(term);
    envelope.mutable_agent_welcome()->set_leads(leads);
    envelope.mutable_agent_welcome()->set_sequence(sequence);
    Gateway.receive(envelope);
  }

  /// Begins the first call, a large one, whose end is stored in `Ended`.
  void beginLargeCall() {
    protocol::WorkflowCall call;
    call.set_path(std::string(LargeCallBytes, 'x'));
    Gateway.call(std::move(call), Milliseconds(2000),
                 [this](CallOutcome it, const protocol::WorkflowAnswer &) {
                   Ended = it;
                 });
  }

  /// Answers the first call. Calls are numbered from the wall clock at the
  /// gateway's creation, which is 0.
  void answer(const std::string &control, protocol::WorkflowVerdict verdict) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    envelope.mutable_workflow_answer()->set_call(0);
    envelope.mutable_workflow_answer()->set_verdict(verdict);
    Gateway.receive(envelope);
  }

  /// The same with the version of the configuration that the leader has
  /// applied, and whether the queue `host/a/` needs a key by it.
  void answer(const std::string &control, protocol::WorkflowVerdict verdict,
              std::uint64_t version, bool keyRequired = false) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    protocol::WorkflowAnswer &answer = *envelope.mutable_workflow_answer();
    answer.set_call(0);
    answer.set_verdict(verdict);
    answer.set_config_version(version);
    answer.mutable_route()->set_host("host");
    answer.mutable_route()->set_path_prefix("/a/");
    answer.mutable_route()->set_timeout_ms(2000);
    answer.mutable_route()->set_key_required(keyRequired);
    Gateway.receive(envelope);
  }

  void welcomeWithVersion(const std::string &control, std::uint64_t version) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    envelope.mutable_agent_welcome()->set_leads(true);
    envelope.mutable_agent_welcome()->set_config_version(version);
    Gateway.receive(envelope);
  }

  /// Whether a call of the queue `host/a/` with this key is known to lack one.
  bool lacksKey(const std::string &key) const {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/a/x");
    call.set_api_key(key);
    return Gateway.lacksKey(call);
  }

  /// How often a large call was sent; messages stay in the mailbox, which is
  /// not started.
  std::uint64_t largeCallsSent() const {
    return Mailbox.traffic().QueuedBytes / LargeCallBytes;
  }

  /// Advances the clock and lets the gateway's timer expire.
  void pass(Milliseconds time) {
    constexpr Milliseconds TimerTime{120};
    Time.advance(time);
    Context.restart();
    Context.run_for(TimerTime);
  }

  static constexpr std::size_t LargeCallBytes = 100'000;
  const EntryGatewayOptions Options;
  const std::string Control = "tcp://127.0.0.1:1";
  const std::string OtherControl = "tcp://127.0.0.1:2";
  std::optional<CallOutcome> Ended;
  ManualClock Time;
  EventLog Events{{"entry", 1, "/dev/null"}, Time};
  asio::io_context Context;
  peers::Mailbox Mailbox{{"cell", "entry", 1, "tcp://127.0.0.1:0"},
                         [](const protocol::Envelope &) {},
                         Events};
  EntryGateway Gateway{optionsWithControl(), Context, Mailbox, Events, Time};
};

} // namespace

TEST_CASE("A call waits for a leader while an election may be in progress",
          "[workflow]") {
  Fixture entry;
  entry.welcome(true);
  REQUIRE(entry.Gateway.isConnected());
  entry.welcome(false);
  CHECK_FALSE(entry.Gateway.isConnected());
  CHECK_FALSE(entry.call());
}

TEST_CASE("A call is refused at once if no leader was found for longer than an "
          "election",
          "[workflow]") {
  Fixture entry;
  entry.welcome(true);
  entry.welcome(false);
  entry.Time.advance(Milliseconds(1500));
  CHECK(entry.call() == CallOutcome::NotAccepted);
  entry.welcome(true);
  CHECK_FALSE(entry.call());
}

// Guards against entry VMs that multiply the work of a busy leader.
TEST_CASE("A call is sent again only once the leader has answered a later "
          "hello",
          "[workflow]") {
  Fixture entry;
  entry.Gateway.start();
  entry.welcome(true, 1);
  entry.beginLargeCall();
  REQUIRE(entry.largeCallsSent() == 1);
  entry.pass(Milliseconds(500));
  entry.welcome(true, 1);
  entry.pass(Milliseconds(500));
  CHECK(entry.largeCallsSent() == 1);
  entry.welcome(true, 2);
  CHECK(entry.largeCallsSent() == 2);
}

TEST_CASE("A call whose leader is lost and found again is not sent twice while "
          "the first copy may wait there",
          "[workflow]") {
  Fixture entry;
  entry.Gateway.start();
  entry.welcome(true, 1);
  entry.beginLargeCall();
  entry.pass(Milliseconds(900));
  REQUIRE_FALSE(entry.Gateway.isConnected());
  entry.welcome(true, 1);
  REQUIRE(entry.Gateway.isConnected());
  CHECK(entry.largeCallsSent() == 1);
}

TEST_CASE("A call that only a VM without leadership received was not run",
          "[workflow]") {
  Fixture entry;
  entry.Gateway.start();
  entry.welcome(true, 1);
  entry.beginLargeCall();
  entry.answer(entry.Control, protocol::VERDICT_NOT_LEADING);
  entry.welcome(false, 1);
  CHECK_FALSE(entry.Ended);
  entry.pass(Milliseconds(1400));
  CHECK(entry.Ended == CallOutcome::NotAccepted);
}

TEST_CASE("A call that was sent and not answered is unknown", "[workflow]") {
  Fixture entry;
  entry.Gateway.start();
  entry.welcome(true, 1);
  entry.beginLargeCall();
  entry.pass(Milliseconds(900));
  // The other control VMs answer, and know no other leader.
  entry.welcomeFrom(entry.OtherControl, false);
  CHECK_FALSE(entry.Gateway.isConnected());
  CHECK_FALSE(entry.Ended);
  entry.pass(Milliseconds(1400));
  CHECK(entry.Ended == CallOutcome::Unknown);
  // From now on nothing is held.
  CHECK(entry.call() == CallOutcome::NotAccepted);
}

TEST_CASE("The refusal of a former leader doesn't end a call that the present "
          "one has",
          "[workflow]") {
  Fixture entry;
  entry.welcomeFrom(entry.Control, true);
  entry.beginLargeCall();
  entry.welcomeFrom(entry.OtherControl, true);
  REQUIRE(entry.largeCallsSent() == 2);
  entry.answer(entry.Control, protocol::VERDICT_REFUSED);
  CHECK_FALSE(entry.Ended);
  entry.answer(entry.OtherControl, protocol::VERDICT_OK);
  CHECK(entry.Ended == CallOutcome::Answered);
}

// Guards against a submission that the present leader refuses while a copy is
// on its way to a VM that leads again later.
TEST_CASE("A call is sent again when its leader leads in another term",
          "[workflow]") {
  Fixture entry;
  entry.welcomeFrom(entry.Control, true, 0, 3);
  entry.beginLargeCall();
  REQUIRE(entry.largeCallsSent() == 1);
  entry.welcomeFrom(entry.Control, true, 0, 3);
  CHECK(entry.largeCallsSent() == 1);
  entry.welcomeFrom(entry.Control, true, 0, 5);
  CHECK(entry.largeCallsSent() == 2);
}

TEST_CASE("The welcome of an earlier term that arrives late doesn't replace "
          "the leader",
          "[workflow]") {
  Fixture entry;
  entry.welcomeFrom(entry.Control, true, 0, 5);
  entry.welcomeFrom(entry.OtherControl, true, 0, 4);
  CHECK(entry.Gateway.leader() == entry.Control);
  entry.welcomeFrom(entry.OtherControl, true, 0, 6);
  CHECK(entry.Gateway.leader() == entry.OtherControl);
  // A cell that was started anew begins with the first term.
  entry.welcomeFrom(entry.OtherControl, false);
  entry.welcomeFrom(entry.Control, true, 0, 1);
  CHECK(entry.Gateway.leader() == entry.Control);
}

TEST_CASE("A call is refused at once while too many others wait",
          "[workflow]") {
  EntryGatewayOptions options;
  options.MaxCalls = 2;
  Fixture entry(options);
  entry.welcome(true);
  entry.beginLargeCall();
  CHECK_FALSE(entry.call());
  CHECK(entry.Gateway.waitingCalls() == 2);
  CHECK(entry.call() == CallOutcome::TooManyWait);
  CHECK(entry.Gateway.waitingCalls() == 2);
  entry.answer(entry.Control, protocol::VERDICT_OK);
  CHECK(entry.Gateway.waitingCalls() == 1);
  CHECK_FALSE(entry.call());
}

TEST_CASE("A call is refused at once while the others are too large together",
          "[workflow]") {
  EntryGatewayOptions options;
  options.MaxCallBytes = Fixture::LargeCallBytes + 1000;
  Fixture entry(options);
  entry.welcome(true);
  entry.beginLargeCall();
  CHECK(entry.Gateway.waitingBytes() >= Fixture::LargeCallBytes);
  protocol::WorkflowCall large;
  large.set_path(std::string(Fixture::LargeCallBytes, 'x'));
  CHECK(entry.call(Milliseconds(2000), large) == CallOutcome::TooManyWait);
  entry.answer(entry.Control, protocol::VERDICT_OK);
  CHECK(entry.Gateway.waitingBytes() == 0);
  CHECK_FALSE(entry.call(Milliseconds(2000), large));
}

// Guards against callers that are held until their deadline by a leader that is
// too busy to refuse them.
TEST_CASE("Calls are refused at once while the leader answers too late",
          "[workflow]") {
  Fixture entry;
  entry.Gateway.start();
  entry.welcome(true, 1);
  // Hellos are sent in each step, and only the first one is answered, again and
  // again.
  entry.pass(Milliseconds(400));
  entry.welcome(true, 1);
  entry.pass(Milliseconds(400));
  entry.welcome(true, 1);
  CHECK(entry.Gateway.leaderDelay() == Milliseconds(400));
  CHECK(entry.call(Milliseconds(300)) == CallOutcome::LeaderBusy);
  CHECK_FALSE(entry.call(Milliseconds(500)));
  entry.pass(Milliseconds(450));
  REQUIRE(entry.Gateway.isConnected());
  CHECK(entry.call() == CallOutcome::LeaderBusy);
  protocol::WorkflowCall cancellation;
  cancellation.mutable_cancel();
  CHECK_FALSE(entry.call(Milliseconds(2000), cancellation));
  // The latest hello is answered.
  entry.welcome(true, 4);
  CHECK(entry.Gateway.leaderDelay() == Milliseconds(0));
  CHECK_FALSE(entry.call());
}

TEST_CASE("A call with too little time for an answer is not sent, and the "
          "outcome says so with and without a leader",
          "[workflow]") {
  Fixture entry;
  CHECK(entry.call(Milliseconds(5)) == CallOutcome::TooLittleTime);
  entry.welcome(true);
  CHECK(entry.call(Milliseconds(5)) == CallOutcome::TooLittleTime);
  CHECK_FALSE(entry.call(Milliseconds(100)));
}

TEST_CASE("A call that was sent and has no answer ends as unknown at its "
          "deadline, before the next tick",
          "[workflow]") {
  Fixture entry;
  entry.welcome(true);
  std::optional<CallOutcome> outcome;
  entry.Gateway.call(
      {}, Milliseconds(25),
      [&](CallOutcome it, const protocol::WorkflowAnswer &) { outcome = it; });
  REQUIRE_FALSE(outcome);
  entry.Time.advance(Milliseconds(25));
  entry.Context.run_for(std::chrono::seconds(5));
  CHECK(outcome == CallOutcome::Unknown);
}

TEST_CASE("A call without a key is turned away where the queue is known to "
          "need one",
          "[workflow]") {
  Fixture entry;
  entry.welcomeWithVersion(entry.Control, 3);
  CHECK_FALSE(entry.lacksKey(""));
  entry.answer(entry.Control, protocol::VERDICT_OK, 3, true);
  CHECK(entry.lacksKey(""));
  // Whether a key is known, only the leader decides.
  CHECK_FALSE(entry.lacksKey("any"));
  entry.welcomeWithVersion(entry.Control, 4);
  CHECK_FALSE(entry.lacksKey(""));
}

// Guards against an entry VM that decides by a configuration which may no
// longer be in force.
TEST_CASE("A call without a key is forwarded while no leader has confirmed the "
          "configuration lately",
          "[workflow]") {
  Fixture entry;
  entry.welcomeWithVersion(entry.Control, 3);
  entry.answer(entry.Control, protocol::VERDICT_OK, 3, true);
  entry.Time.advance(entry.Options.LeaderTimeout);
  CHECK(entry.lacksKey(""));
  entry.Time.advance(Milliseconds(1));
  CHECK_FALSE(entry.lacksKey(""));
  entry.welcomeWithVersion(entry.Control, 3);
  CHECK(entry.lacksKey(""));
  entry.welcomeFrom(entry.Control, false);
  CHECK_FALSE(entry.lacksKey(""));
}

// Guards against a valid key that gets 401, and a new queue that gets 404, from
// a leader that was deposed before it applied the configuration with them.
TEST_CASE("An answer by an older configuration turns nobody away",
          "[workflow]") {
  const auto verdict =
      GENERATE(protocol::VERDICT_UNAUTHENTICATED, protocol::VERDICT_NO_QUEUE);
  Fixture entry;
  entry.welcomeWithVersion(entry.Control, 3);
  entry.beginLargeCall();
  entry.welcomeWithVersion(entry.OtherControl, 4);
  entry.answer(entry.Control, verdict, 3);
  CHECK_FALSE(entry.Ended);
  entry.answer(entry.OtherControl, protocol::VERDICT_OK, 4);
  CHECK(entry.Ended == CallOutcome::Answered);
}

TEST_CASE("A call that was turned away by an older configuration is sent again",
          "[workflow]") {
  Fixture entry;
  entry.welcomeWithVersion(entry.Control, 3);
  entry.beginLargeCall();
  REQUIRE(entry.largeCallsSent() == 1);
  entry.welcomeWithVersion(entry.Control, 4);
  entry.answer(entry.Control, protocol::VERDICT_UNAUTHENTICATED, 3);
  CHECK_FALSE(entry.Ended);
  entry.welcomeWithVersion(entry.Control, 4);
  CHECK(entry.largeCallsSent() == 2);
  entry.answer(entry.Control, protocol::VERDICT_UNAUTHENTICATED, 4);
  CHECK(entry.Ended == CallOutcome::Answered);
}
