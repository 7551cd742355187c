#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/runner_orders.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

using OrderDone = std::function<void(OrderAnswer)>;
using PollDone = std::function<void(PollAnswer)>;

/// Requirements of a client that sends orders to runners, each with a leader's
/// term, of which the fencing token is made. `done` is called exactly once, on
/// the control thread.
template <class Calls>
concept RunnerCalls = requires(Calls calls, const StartOrder &start,
                               const StopOrder &stop, const PollOrder &poll,
                               std::uint64_t term, OrderDone orderDone,
                               PollDone pollDone) {
  calls.start(start, term, orderDone);
  calls.stop(stop, term, orderDone);
  calls.poll(poll, term, pollDone);
};

/// The advice service's answer.
struct AdviceAnswer {
  bool Answered = false;
  /// Approved runners, each with its ticket.
  std::vector<std::pair<std::string, std::string>> Approved;
  /// 0 if the answer states no validity.
  std::uint32_t ValidityMs = 0;
  std::string Reason;
};

using AdviceDone = std::function<void(AdviceAnswer)>;

/// Requirements of a client that asks the advice service which runners may run
/// a step.
template <class Calls>
concept AdviceCalls = requires(Calls calls, const StepKey &step,
                               const std::vector<std::string> &runners,
                               Milliseconds timeout, AdviceDone done) {
  calls.ask(step, runners, timeout, done);
};

} // namespace masticwinch::workflow
