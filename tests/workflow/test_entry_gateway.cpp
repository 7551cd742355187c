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
  Fixture() { Time.advance(std::chrono::seconds(100)); }

  std::optional<CallOutcome> call(Milliseconds timeout = Milliseconds(2000)) {
    std::optional<CallOutcome> outcome;
    Gateway.call({}, timeout,
                 [&](CallOutcome it, const protocol::WorkflowAnswer &) {
                   outcome = it;
                 });
    return outcome;
  }

  void welcome(bool leads) {
    protocol::Envelope envelope;
    envelope.set_reply_address(Control);
    envelope.mutable_agent_welcome()->set_leads(leads);
    Gateway.receive(envelope);
  }

  const std::string Control = "tcp://127.0.0.1:1";
  ManualClock Time;
  EventLog Events{{"entry", 1, "/dev/null"}, Time};
  asio::io_context Context;
  peers::Mailbox Mailbox{{"cell", "entry", 1, "tcp://127.0.0.1:0"},
                         [](const protocol::Envelope &) {},
                         Events};
  EntryGateway Gateway{{{Control}}, Context, Mailbox, Events, Time};
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
