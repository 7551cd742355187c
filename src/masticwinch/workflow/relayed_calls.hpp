#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/relay_selection.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workflow/order_messages.hpp"
#include "masticwinch/workflow/order_number.hpp"
#include "masticwinch/workflow/runner_calls.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

struct RelayedCallsOptions {
  /// Up to this number of runners, the leader calls them directly. A direct
  /// call costs the leader about 0.2 ms; a relayed call costs a third of that,
  /// but takes one more round trip.
  std::size_t MaxDirectRunners = 96;
  /// Time for which orders are collected into one message.
  Milliseconds BatchDelay{1};
  /// An order without an answer counts as unanswered after this time plus the
  /// time for which the runner may hold the call.
  Milliseconds ResponseTimeout{800};
  RelaySelectionOptions Selection{};
};

/// Sends orders to runners through other VMs that act as relays, because a
/// single leader can't make all the calls that a large fleet needs. When a
/// relay stops responding, the others take over its runners. Orders for a small
/// fleet are sent directly.
template <RunnerCalls Direct, class Sender = peers::Mailbox>
class RelayedCalls {
public:
  RelayedCalls(Direct &direct, asio::io_context &context, Sender &outbox,
               const Clock &clock, RelayedCallsOptions options = {})
      : DirectCalls(direct), Outbox(outbox), Time(clock), Options(options),
        Selection(options.Selection), Flusher(context), Expirer(context) {
    awaitExpiry();
  }

  /// Sets the number of runners, which decides whether calls are relayed.
  void setRunnerCount(std::size_t count) { RunnerCount = count; }

  /// Called when a VM has offered to relay orders; `linkKbps` is 0 if it
  /// doesn't state the capacity of its link.
  void relaySeen(const std::string &address,
                 RelayRole role = RelayRole::EntryVm,
                 std::uint32_t linkKbps = 0) {
    Selection.offered(address, role, linkKbps, Time.now());
  }

  void start(const StartOrder &order, std::uint64_t term, OrderDone done) {
    const std::string *relay =
        isRelayed() ? Selection.relayForStart(order.Runner, Time.now())
                    : nullptr;
    if (relay) {
      send(*relay, term, messageOf(order), Milliseconds(0),
           [this, relay = *relay,
            done = std::move(done)](const PollAnswer &answer) {
             Selection.startEnded(relay,
                                  answer.Answer != OrderAnswer::RelaySilent);
             done(answer.Answer);
           });
    } else {
      DirectCalls.start(order, term, std::move(done));
    }
  }

  void stop(const StopOrder &order, std::uint64_t term, OrderDone done) {
    if (const std::string *relay = relayFor(order.Runner)) {
      send(*relay, term, messageOf(order), Milliseconds(0), asPollDone(done));
    } else {
      DirectCalls.stop(order, term, std::move(done));
    }
  }

  void poll(const PollOrder &order, std::uint64_t term, PollDone done) {
    if (const std::string *relay = relayFor(order.Runner)) {
      send(*relay, term, messageOf(order), Milliseconds(order.WaitMs),
           std::move(done));
    } else {
      DirectCalls.poll(order, term, std::move(done));
    }
  }

  /// Handles answers from relays; other messages are ignored.
  void receive(const protocol::Envelope &envelope) {
    for (const protocol::RunnerAnswer &it :
         envelope.runner_answers().answers()) {
      finish(it.order(), answerOf(it));
    }
  }

private:
  struct PendingOrder {
    SteadyTime Deadline;
    PollDone Done;
  };

  static constexpr Milliseconds ExpiryInterval{50};

  static PollDone asPollDone(OrderDone done) {
    return [done = std::move(done)](const PollAnswer &answer) {
      done(answer.Answer);
    };
  }

  bool isRelayed() const { return RunnerCount > Options.MaxDirectRunners; }

  const std::string *relayFor(const std::string &runner) {
    return isRelayed() ? Selection.relayFor(runner, Time.now()) : nullptr;
  }

  void send(const std::string &relay, std::uint64_t term,
            protocol::RunnerOrder order, Milliseconds wait, PollDone done) {
    if (term != NumberedTerm) {
      NumberedTerm = term;
      NextOrder = firstOrderOf(term);
    }
    const std::uint64_t number = NextOrder++;
    order.set_order(number);
    PendingOrders[number] = {Time.now() + wait + Options.ResponseTimeout,
                             std::move(done)};
    protocol::RunnerOrders &batch = Batches[relay];
    batch.set_fencing_token(term);
    *batch.add_orders() = std::move(order);
    if (!FlushDue) {
      FlushDue = true;
      Flusher.expires_after(Options.BatchDelay);
      Flusher.async_wait([this](const std::error_code &ec) {
        if (!ec) {
          flush();
        }
      });
    }
  }

  void flush() {
    FlushDue = false;
    for (auto &[relay, batch] : std::exchange(Batches, {})) {
      protocol::Envelope envelope;
      *envelope.mutable_runner_orders() = std::move(batch);
      Outbox.send(relay, std::move(envelope));
    }
  }

  void finish(std::uint64_t number, PollAnswer answer) {
    const auto order = PendingOrders.extract(number);
    if (!order.empty()) {
      order.mapped().Done(std::move(answer));
    }
  }

  void awaitExpiry() {
    Expirer.expires_after(ExpiryInterval);
    Expirer.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        expire();
        awaitExpiry();
      }
    });
  }

  void expire() {
    const SteadyTime now = Time.now();
    std::vector<std::uint64_t> expired;
    for (const auto &[number, order] : PendingOrders) {
      if (now >= order.Deadline) {
        expired.push_back(number);
      }
    }
    PollAnswer unanswered;
    unanswered.Answer = OrderAnswer::RelaySilent;
    for (std::uint64_t it : expired) {
      finish(it, unanswered);
    }
  }

  Direct &DirectCalls;
  Sender &Outbox;
  const Clock &Time;
  RelayedCallsOptions Options;
  RelaySelection Selection;
  asio::steady_timer Flusher;
  asio::steady_timer Expirer;
  bool FlushDue = false;
  std::size_t RunnerCount = 0;
  std::map<std::string, protocol::RunnerOrders> Batches;
  /// Term of the latest order; the orders of each term are numbered anew.
  std::uint64_t NumberedTerm = 0;
  std::uint64_t NextOrder = firstOrderOf(0);
  std::map<std::uint64_t, PendingOrder> PendingOrders;
};

} // namespace masticwinch::workflow
