#pragma once

#include "masticwinch/coordination/workflow/runner_orders.hpp"
#include "masticwinch/protocol/workflow.pb.h"

namespace masticwinch::workflow {

// Orders and answers as messages between the leader and the VM that carries
// them; a message of the wrong kind gives an order without content.
protocol::RunnerOrder messageOf(const StartOrder &order);
protocol::RunnerOrder messageOf(const StopOrder &order);
protocol::RunnerOrder messageOf(const PollOrder &order);
StartOrder startOf(const protocol::RunnerOrder &message);
StopOrder stopOf(const protocol::RunnerOrder &message);
PollOrder pollOf(const protocol::RunnerOrder &message);

protocol::RunnerAnswer messageOf(const PollAnswer &answer);
PollAnswer answerOf(const protocol::RunnerAnswer &message);

} // namespace masticwinch::workflow
