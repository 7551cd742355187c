#pragma once

#include "masticwinch/coordination/workflow/runner_orders.hpp"
#include "masticwinch/protocol/workflow.pb.h"

namespace masticwinch::workflow {

// Conversion of orders and answers to and from messages between the leader and
// a relay. A message of another kind yields an order without content.
protocol::RunnerOrder messageOf(const StartOrder &order);
protocol::RunnerOrder messageOf(const StopOrder &order);
protocol::RunnerOrder messageOf(const PollOrder &order);
StartOrder startOf(const protocol::RunnerOrder &message);
StopOrder stopOf(const protocol::RunnerOrder &message);
PollOrder pollOf(const protocol::RunnerOrder &message);

protocol::RunnerAnswer messageOf(const PollAnswer &answer);
PollAnswer answerOf(const protocol::RunnerAnswer &message);

} // namespace masticwinch::workflow
