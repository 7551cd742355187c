#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// One life of a runner. A runner that starts again may keep its id; its later
/// life is born later.
struct RunnerLife {
  std::string Id;
  /// 0 if the runner does not state it.
  std::uint64_t BornUnixMs = 0;

  bool operator==(const RunnerLife &) const = default;
};

/// Number of the lives of runners that one leader can tell apart.
constexpr std::uint64_t MaxLifeNumber = (1U << 20U) - 1;

/// Returns the fencing token of an order. A runner refuses orders with a lower
/// token than it has seen. The tokens rise from term to term and, within a
/// term, from one life of a runner to the next: an order to a former life is
/// refused by the next one, once that has got an order of its own. Exact as a
/// double for 2^33 terms.
constexpr std::uint64_t fencingTokenOf(std::uint64_t term,
                                       std::uint32_t lifeNumber) {
  return term * (MaxLifeNumber + 1) + lifeNumber;
}

/// Tells a runner to start a run. The order is idempotent.
struct StartOrder {
  std::string Runner;
  std::string Address;
  RunKey Run;
  std::string Payload;
  /// End of the runner's lease, on the runner's clock.
  std::int64_t LeaseUntilMs = 0;
  std::string Checkpoint;
  /// Ticket of the advice service; empty if the queue needs none.
  std::string Ticket;
  /// The life of the runner that the order is meant for. Not sent: a call names
  /// the runner by its id alone.
  std::uint64_t BornUnixMs = 0;
  /// Number of that life, counted by the leader over all runners.
  std::uint32_t LifeNumber = 0;
  /// Connections that a VM may have open to the runner when it makes this call;
  /// 0 for no limit. The same in the other orders.
  std::uint32_t MaxConnections = 0;
};

/// Tells a runner to stop a run and to refuse any later order to start it.
struct StopOrder {
  std::string Runner;
  std::string Address;
  RunKey Run;
  std::uint64_t BornUnixMs = 0;
  std::uint32_t LifeNumber = 0;
  std::uint32_t MaxConnections = 0;
};

/// Polls a runner for its running and ended runs, and renews its lease.
struct PollOrder {
  std::string Runner;
  std::string Address;
  /// Number of the poll, counted for each runner.
  std::uint64_t Sequence = 0;
  /// Empty if the lease is not renewed.
  std::optional<std::int64_t> LeaseUntilMs;
  /// Ends up to this number are stored; the runner may drop them.
  std::uint64_t EndsStored = 0;
  /// Long poll: how long the runner may wait for an end before it answers.
  std::uint32_t WaitMs = 0;
  std::uint64_t BornUnixMs = 0;
  std::uint32_t LifeNumber = 0;
  std::uint32_t MaxConnections = 0;
};

/// Result of an order to a runner.
enum class OrderAnswer : std::uint8_t {
  Done,
  /// Rejected: the runner has accepted an order with a higher fencing token, of
  /// a later term or to a later life.
  Fenced,
  /// The run, or a later run of the task, has ended or was stopped on the
  /// runner.
  Outdated,
  /// The lease had expired when the order arrived.
  Late,
  NoRoom,
  TicketInvalid,
  /// The runner reports that it is unhealthy and has done nothing.
  Unwell,
  /// Another incarnation of the runner answers at this address.
  OtherLife,
  Malformed,
  /// No answer: the order may have been carried out, or still may be.
  Silent,
  /// No answer, since the connection was refused or closed; otherwise as
  /// `Silent`.
  Disconnected,
  /// The relay of the order gave no answer, so that nothing is known of the
  /// runner; otherwise as `Silent`.
  RelaySilent,
  /// The order was not sent: no connection to the runner could be opened.
  Unreachable,
  /// The order was not sent: other calls to the runner took too long. Says
  /// nothing of the runner.
  NotSent,
};

/// Whether it is unknown if the order was carried out.
constexpr bool isUnanswered(OrderAnswer answer) {
  return answer == OrderAnswer::Silent || answer == OrderAnswer::Disconnected ||
         answer == OrderAnswer::RelaySilent;
}

/// Whether it is certain that the runner has not got the order.
constexpr bool wasNotSent(OrderAnswer answer) {
  return answer == OrderAnswer::Unreachable || answer == OrderAnswer::NotSent;
}

/// A run that is running on a runner.
struct RunningRun {
  RunKey Run;
  std::string Checkpoint;
};

/// A run that has ended on a runner. `Number` increases with each end on the
/// runner.
struct EndedRun {
  std::uint64_t Number = 0;
  RunKey Run;
  protocol::RunEnd How = protocol::RUN_END_UNSPECIFIED;
  std::string Checkpoint;
};

/// A runner's answer to a poll.
struct PollAnswer {
  OrderAnswer Answer = OrderAnswer::Silent;
  std::int64_t ClockMs = 0;
  /// Start of the incarnation that answered; 0 if the answer does not state it.
  std::uint64_t BornUnixMs = 0;
  std::vector<RunningRun> Running;
  std::vector<EndedRun> Ended;
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::OrderAnswer> {
  using Answer = workflow::OrderAnswer;
  static constexpr std::array Table{
      EnumName<Answer>{Answer::Done, "done"},
      EnumName<Answer>{Answer::Fenced, "fenced"},
      EnumName<Answer>{Answer::Outdated, "outdated"},
      EnumName<Answer>{Answer::Late, "late"},
      EnumName<Answer>{Answer::NoRoom, "no_room"},
      EnumName<Answer>{Answer::TicketInvalid, "ticket_invalid"},
      EnumName<Answer>{Answer::Unwell, "unwell"},
      EnumName<Answer>{Answer::OtherLife, "other_life"},
      EnumName<Answer>{Answer::Malformed, "malformed"},
      EnumName<Answer>{Answer::Silent, "silent"},
      EnumName<Answer>{Answer::Disconnected, "disconnected"},
      EnumName<Answer>{Answer::RelaySilent, "relay_silent"},
      EnumName<Answer>{Answer::Unreachable, "unreachable"},
      EnumName<Answer>{Answer::NotSent, "not_sent"}};
};

} // namespace masticwinch
