#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workflow/order_messages.hpp"
#include "masticwinch/workflow/runner_calls.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <string>
#include <utility>

namespace masticwinch::workflow {

/// Relays a leader's orders to runners and sends the runners' answers back. It
/// makes no decisions: the lease and the parts of the fencing token come with
/// each order.
template <RunnerCalls Calls> class OrderRelay {
public:
  OrderRelay(Calls &runners, asio::io_context &context, peers::Mailbox &outbox)
      : Runners(runners), Outbox(outbox), Flusher(context) {}

  /// Handles orders; other messages are ignored.
  void receive(const protocol::Envelope &envelope) {
    const protocol::RunnerOrders &orders = envelope.runner_orders();
    for (const protocol::RunnerOrder &it : orders.orders()) {
      relay(it, orders.fencing_token(), envelope.reply_address());
    }
  }

private:
  /// Time for which answers are collected into one message.
  static constexpr Milliseconds BatchDelay{1};

  void relay(const protocol::RunnerOrder &order, std::uint64_t term,
             const std::string &leader) {
    const auto done = [this, leader,
                       number = order.order()](const PollAnswer &answer) {
      protocol::RunnerAnswer message = messageOf(answer);
      message.set_order(number);
      add(leader, std::move(message));
    };
    const auto orderDone = [done](OrderAnswer answer) {
      PollAnswer wrapped;
      wrapped.Answer = answer;
      done(wrapped);
    };
    if (order.has_start()) {
      Runners.start(startOf(order), term, orderDone);
    } else if (order.has_stop()) {
      Runners.stop(stopOf(order), term, orderDone);
    } else if (order.has_look()) {
      Runners.poll(pollOf(order), term, done);
    }
  }

  void add(const std::string &leader, protocol::RunnerAnswer answer) {
    *Batches[leader].add_answers() = std::move(answer);
    if (FlushDue) {
      return;
    }
    FlushDue = true;
    Flusher.expires_after(BatchDelay);
    Flusher.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        flush();
      }
    });
  }

  void flush() {
    FlushDue = false;
    for (auto &[leader, batch] : std::exchange(Batches, {})) {
      protocol::Envelope envelope;
      *envelope.mutable_runner_answers() = std::move(batch);
      Outbox.send(leader, std::move(envelope));
    }
  }

  Calls &Runners;
  peers::Mailbox &Outbox;
  asio::steady_timer Flusher;
  bool FlushDue = false;
  std::map<std::string, protocol::RunnerAnswers> Batches;
};

} // namespace masticwinch::workflow
