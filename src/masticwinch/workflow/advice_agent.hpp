#pragma once

#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workflow/runner_calls.hpp"

#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Makes calls to the advice service on the leader's behalf. The service
/// accepts only one call at a time from each VM, so the leader spreads its
/// calls.
template <AdviceCalls Client> class AdviceAgent {
public:
  AdviceAgent(Client &client, peers::Mailbox &outbox)
      : Advice(client), Outbox(outbox) {}

  /// Handles an order from the leader; other messages are ignored.
  void receive(const protocol::Envelope &envelope) {
    if (!envelope.has_advice_order()) {
      return;
    }
    const protocol::AdviceOrder &order = envelope.advice_order();
    const std::vector<std::string> runners(order.runners().begin(),
                                           order.runners().end());
    Advice.ask(
        taskKeyOf(order.step()).Step, runners, Milliseconds(order.timeout_ms()),
        [this, number = order.order(), address = envelope.reply_address()](
            AdviceAnswer answer) { send(number, address, answer); });
  }

  /// Offers the leader to make advice calls on this VM, whose link has this
  /// capacity; 0 if that is not known.
  void sendHello(const std::string &leader, std::uint32_t linkKbps) {
    protocol::Envelope envelope;
    envelope.mutable_agent_hello()->set_link_kbps(linkKbps);
    Outbox.send(leader, std::move(envelope));
  }

private:
  void send(std::uint64_t number, const std::string &address,
            const AdviceAnswer &answer) {
    protocol::Envelope envelope;
    protocol::AdviceResult *result = envelope.mutable_advice_result();
    result->set_order(number);
    result->set_answered(answer.Answered);
    result->set_validity_ms(answer.ValidityMs);
    result->set_reason(answer.Reason);
    for (const auto &[runner, ticket] : answer.Approved) {
      protocol::ApprovedRunner *row = result->add_approved();
      row->set_runner(runner);
      row->set_ticket(ticket);
    }
    Outbox.send(address, std::move(envelope));
  }

  Client &Advice;
  peers::Mailbox &Outbox;
};

} // namespace masticwinch::workflow
