#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/workflow/relayed_calls.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

const std::string Relay = "relay";

/// Direct calls, of which the tests make none.
struct NoCalls {
  void start(const StartOrder &, std::uint64_t, const OrderDone &) {}
  void stop(const StopOrder &, std::uint64_t, const OrderDone &) {}
  void poll(const PollOrder &, std::uint64_t, const PollDone &) {}
};

struct FakeSender {
  void send(const std::string &, const protocol::Envelope &envelope) {
    for (const protocol::RunnerOrder &it : envelope.runner_orders().orders()) {
      Orders.push_back(it);
    }
  }

  std::vector<protocol::RunnerOrder> Orders;
};

/// A process of a control VM that sends all its orders through the relay.
struct Process {
  Process() {
    Time.advance(std::chrono::seconds(100));
    Calls.setRunnerCount(1);
    Calls.relaySeen(Relay);
  }

  /// Polls the runner in the given term; returns the order that the relay gets.
  protocol::RunnerOrder poll(const std::string &runner, std::uint64_t term) {
    PollOrder order;
    order.Runner = runner;
    Calls.poll(order, term, [this](const PollAnswer &it) { Answer = it; });
    while (Sender.Orders.empty()) {
      Context.run_one();
    }
    return Sender.Orders.back();
  }

  void answer(const protocol::RunnerOrder &order, std::int64_t clockMs) {
    PollAnswer answer;
    answer.Answer = OrderAnswer::Done;
    answer.ClockMs = clockMs;
    protocol::RunnerAnswer message = messageOf(answer);
    message.set_order(order.order());
    protocol::Envelope envelope;
    *envelope.mutable_runner_answers()->add_answers() = std::move(message);
    Calls.receive(envelope);
  }

  ManualClock Time;
  asio::io_context Context;
  NoCalls Direct;
  FakeSender Sender;
  RelayedCalls<NoCalls, FakeSender> Calls{
      Direct, Context, Sender, Time, {.MaxDirectRunners = 0}};
  std::optional<PollAnswer> Answer;
};

} // namespace

TEST_CASE("A relay's answer to an order from before a restart is not taken for "
          "that of another runner",
          "[workflow]") {
  const protocol::RunnerOrder earlier = Process().poll("i-1", 1);
  Process restarted;
  const protocol::RunnerOrder order = restarted.poll("i-2", 2);

  restarted.answer(earlier, 1);
  CHECK_FALSE(restarted.Answer);
  restarted.answer(order, 2);
  REQUIRE(restarted.Answer);
  CHECK(restarted.Answer->ClockMs == 2);
}

TEST_CASE("A relayed order keeps the number of the runner's life",
          "[workflow]") {
  StartOrder start;
  start.LifeNumber = 3;
  StopOrder stop;
  stop.LifeNumber = 4;
  PollOrder poll;
  poll.LifeNumber = 5;
  CHECK(startOf(messageOf(start)).LifeNumber == 3);
  CHECK(stopOf(messageOf(stop)).LifeNumber == 4);
  CHECK(pollOf(messageOf(poll)).LifeNumber == 5);
}
