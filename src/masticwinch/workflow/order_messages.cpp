#include "masticwinch/workflow/order_messages.hpp"

namespace masticwinch::workflow {

namespace {

template <class Order> protocol::RunnerOrder orderTo(const Order &order) {
  protocol::RunnerOrder message;
  message.set_runner(order.Runner);
  message.set_address(order.Address);
  message.set_life_number(order.LifeNumber);
  message.set_max_connections(order.MaxConnections);
  return message;
}

void setRun(protocol::RunnerOrder &message, const RunKey &run) {
  *message.mutable_task() = refOf(run.Task);
  message.set_run(run.Run);
}

RunKey runOf(const protocol::RunnerOrder &message) {
  return {taskKeyOf(message.task()), message.run()};
}

} // namespace

protocol::RunnerOrder messageOf(const StartOrder &order) {
  protocol::RunnerOrder message = orderTo(order);
  setRun(message, order.Run);
  protocol::StartTerms *terms = message.mutable_start();
  terms->set_payload(order.Payload);
  terms->set_lease_until_ms(order.LeaseUntilMs);
  terms->set_checkpoint(order.Checkpoint);
  terms->set_ticket(order.Ticket);
  return message;
}

protocol::RunnerOrder messageOf(const StopOrder &order) {
  protocol::RunnerOrder message = orderTo(order);
  setRun(message, order.Run);
  message.mutable_stop();
  return message;
}

protocol::RunnerOrder messageOf(const PollOrder &order) {
  protocol::RunnerOrder message = orderTo(order);
  protocol::LookTerms *terms = message.mutable_look();
  if (order.LeaseUntilMs) {
    terms->set_lease_until_ms(*order.LeaseUntilMs);
  }
  terms->set_ends_stored(order.EndsStored);
  terms->set_wait_ms(order.WaitMs);
  return message;
}

StartOrder startOf(const protocol::RunnerOrder &message) {
  const protocol::StartTerms &terms = message.start();
  return {message.runner(),       message.address(),
          runOf(message),         terms.payload(),
          terms.lease_until_ms(), terms.checkpoint(),
          terms.ticket(),         0,
          message.life_number(),  message.max_connections()};
}

StopOrder stopOf(const protocol::RunnerOrder &message) {
  return {message.runner(),      message.address(),        runOf(message), 0,
          message.life_number(), message.max_connections()};
}

PollOrder pollOf(const protocol::RunnerOrder &message) {
  PollOrder order;
  order.Runner = message.runner();
  order.Address = message.address();
  order.LifeNumber = message.life_number();
  order.MaxConnections = message.max_connections();
  if (message.look().has_lease_until_ms()) {
    order.LeaseUntilMs = message.look().lease_until_ms();
  }
  order.EndsStored = message.look().ends_stored();
  order.WaitMs = message.look().wait_ms();
  return order;
}

protocol::RunnerAnswer messageOf(const PollAnswer &answer) {
  protocol::RunnerAnswer message;
  message.set_answer(static_cast<std::uint32_t>(answer.Answer));
  message.set_clock_ms(answer.ClockMs);
  message.set_born_unix_ms(answer.BornUnixMs);
  for (const RunningRun &it : answer.Running) {
    protocol::ListedRun *run = message.add_running();
    *run->mutable_task() = refOf(it.Run.Task);
    run->set_run(it.Run.Run);
    run->set_checkpoint(it.Checkpoint);
  }
  for (const EndedRun &it : answer.Ended) {
    protocol::ListedRun *run = message.add_ended();
    *run->mutable_task() = refOf(it.Run.Task);
    run->set_run(it.Run.Run);
    run->set_checkpoint(it.Checkpoint);
    run->set_number(it.Number);
    run->set_how(it.How);
  }
  return message;
}

PollAnswer answerOf(const protocol::RunnerAnswer &message) {
  PollAnswer answer;
  answer.Answer = static_cast<OrderAnswer>(message.answer());
  answer.ClockMs = message.clock_ms();
  answer.BornUnixMs = message.born_unix_ms();
  for (const protocol::ListedRun &it : message.running()) {
    answer.Running.push_back(
        {{taskKeyOf(it.task()), it.run()}, it.checkpoint()});
  }
  for (const protocol::ListedRun &it : message.ended()) {
    answer.Ended.push_back({it.number(),
                            {taskKeyOf(it.task()), it.run()},
                            it.how(),
                            it.checkpoint()});
  }
  return answer;
}

} // namespace masticwinch::workflow
