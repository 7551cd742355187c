#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/workflow/entry_gateway.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

/// A gateway most of whose latest submissions were refused. Messages stay in
/// the mailbox, which is not started; a whole submission is told from an offer
/// by its size.
struct OfferingEntry {
  explicit OfferingEntry(bool takesOffers = true) {
    Time.advance(std::chrono::seconds(100));
    Gateway.start();
    welcomeFrom(Control, takesOffers);
    for (int i = 0; i < 10; ++i) {
      answer(submit(0), protocol::VERDICT_REFUSED);
    }
    Ended.reset();
    Answers = 0;
  }

  /// Begins a submission; returns the call's number.
  std::uint64_t submit(std::size_t payloadBytes = PayloadBytes) {
    protocol::WorkflowCall call;
    call.mutable_submit()->set_payload(std::string(payloadBytes, 'p'));
    Gateway.call(
        std::move(call), Milliseconds(2000),
        [this](CallOutcome outcome, const protocol::WorkflowAnswer &reply) {
          Ended = outcome;
          Verdict = reply.verdict();
          ++Answers;
        });
    return NextCall++;
  }

  void welcomeFrom(const std::string &control, bool takesOffers,
                   std::uint64_t sequence = 0) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    envelope.mutable_agent_welcome()->set_leads(true);
    envelope.mutable_agent_welcome()->set_takes_offers(takesOffers);
    envelope.mutable_agent_welcome()->set_sequence(sequence);
    Gateway.receive(envelope);
  }

  void answer(std::uint64_t call, protocol::WorkflowVerdict verdict) {
    answerFrom(Control, call, verdict);
  }

  void answerFrom(const std::string &control, std::uint64_t call,
                  protocol::WorkflowVerdict verdict) {
    protocol::Envelope envelope;
    envelope.set_reply_address(control);
    envelope.mutable_workflow_answer()->set_call(call);
    envelope.mutable_workflow_answer()->set_verdict(verdict);
    Gateway.receive(envelope);
  }

  /// How often a payload was sent.
  std::uint64_t payloadsSent() const {
    return Mailbox.traffic().QueuedBytes / PayloadBytes;
  }
  std::uint64_t bytesSent() const { return Mailbox.traffic().QueuedBytes; }

  void pass(Milliseconds time) {
    constexpr Milliseconds TimerTime{120};
    Time.advance(time);
    Context.restart();
    Context.run_for(TimerTime);
  }

  static constexpr std::size_t PayloadBytes = 100'000;
  const std::string Control = "tcp://127.0.0.1:1";
  const std::string OtherControl = "tcp://127.0.0.1:2";
  std::optional<CallOutcome> Ended;
  protocol::WorkflowVerdict Verdict = protocol::VERDICT_OK;
  int Answers = 0;
  /// Calls are numbered from the wall clock at the gateway's creation, which
  /// is 0.
  std::uint64_t NextCall = 0;
  ManualClock Time;
  EventLog Events{{"entry", 1, "/dev/null"}, Time};
  asio::io_context Context;
  peers::Mailbox Mailbox{{"cell", "entry", 1, "tcp://127.0.0.1:0"},
                         [](const protocol::Envelope &) {},
                         Events};
  EntryGateway Gateway{
      {.Controls = {"tcp://127.0.0.1:1"}}, Context, Mailbox, Events, Time};
};

} // namespace

// Guards against links that are filled by the payloads of refused submissions.
TEST_CASE("While most submissions are refused, their payloads are not sent",
          "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t before = entry.bytesSent();
  const std::uint64_t call = entry.submit();
  CHECK(entry.bytesSent() > before);
  CHECK(entry.payloadsSent() == 0);
  entry.answer(call, protocol::VERDICT_REFUSED);
  CHECK(entry.Ended == CallOutcome::Answered);
  CHECK(entry.Verdict == protocol::VERDICT_REFUSED);
  CHECK(entry.Gateway.answeredOffers(OfferOutcome::Refused) == 1);
  CHECK(entry.Gateway.waitingBytes() == 0);
}

TEST_CASE("A submission that is asked for is sent whole, once", "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t call = entry.submit();
  entry.answer(call, protocol::VERDICT_SEND_WHOLE);
  CHECK(entry.payloadsSent() == 1);
  CHECK_FALSE(entry.Ended);
  // An answer to a copy of the offer.
  entry.answer(call, protocol::VERDICT_SEND_WHOLE);
  CHECK(entry.payloadsSent() == 1);
  entry.answer(call, protocol::VERDICT_OK);
  CHECK(entry.Ended == CallOutcome::Answered);
  CHECK(entry.Answers == 1);
  CHECK(entry.Gateway.answeredOffers(OfferOutcome::SendWhole) == 1);
}

TEST_CASE("A leader that doesn't take offers gets whole submissions",
          "[workflow]") {
  OfferingEntry entry(false);
  entry.submit();
  CHECK(entry.payloadsSent() == 1);
}

TEST_CASE("An offer whose answer is lost is made again", "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t call = entry.submit();
  const std::uint64_t before = entry.bytesSent();
  entry.pass(Milliseconds(500));
  entry.welcomeFrom(entry.Control, true, 2);
  CHECK(entry.bytesSent() > before);
  CHECK(entry.payloadsSent() == 0);
  entry.answer(call, protocol::VERDICT_SEND_WHOLE);
  CHECK(entry.payloadsSent() == 1);
}

TEST_CASE("A whole submission that was asked for and lost is sent whole again",
          "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t call = entry.submit();
  entry.answer(call, protocol::VERDICT_SEND_WHOLE);
  entry.pass(Milliseconds(500));
  entry.welcomeFrom(entry.Control, true, 2);
  CHECK(entry.payloadsSent() == 2);
}

TEST_CASE("After a change of leader, a submission that the former one asked "
          "for is sent as the new one needs it",
          "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t call = entry.submit();
  entry.answer(call, protocol::VERDICT_SEND_WHOLE);
  REQUIRE(entry.payloadsSent() == 1);
  SECTION("it takes offers") {
    entry.welcomeFrom(entry.OtherControl, true);
    CHECK(entry.payloadsSent() == 1);
    entry.answerFrom(entry.OtherControl, call, protocol::VERDICT_SEND_WHOLE);
    CHECK(entry.payloadsSent() == 2);
  }
  SECTION("it takes none") {
    entry.welcomeFrom(entry.OtherControl, false);
    CHECK(entry.payloadsSent() == 2);
  }
}

TEST_CASE("A former leader's request for the whole submission is ignored",
          "[workflow]") {
  OfferingEntry entry;
  const std::uint64_t call = entry.submit();
  entry.welcomeFrom(entry.OtherControl, true);
  entry.answerFrom(entry.Control, call, protocol::VERDICT_SEND_WHOLE);
  CHECK(entry.payloadsSent() == 0);
  entry.answerFrom(entry.OtherControl, call, protocol::VERDICT_REFUSED);
  CHECK(entry.Verdict == protocol::VERDICT_REFUSED);
}

// An earlier attempt with the same id may have been accepted.
TEST_CASE("A submission whose offer is never answered is unknown",
          "[workflow]") {
  OfferingEntry entry;
  entry.submit();
  entry.pass(Milliseconds(2100));
  CHECK(entry.Ended == CallOutcome::Unknown);
}
