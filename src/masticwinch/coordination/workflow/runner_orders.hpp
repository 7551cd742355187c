#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// Tells a runner to start a run. Sending it again is harmless.
struct StartOrder {
  std::string Runner;
  std::string Address;
  RunKey Run;
  std::string Payload;
  /// Time on the runner's clock until which it holds its lease.
  std::int64_t LeaseUntilMs = 0;
  std::string Checkpoint;
  /// Of the advice service; empty if the queue needs none.
  std::string Ticket;
};

/// Tells a runner to stop a run, and never to start it later.
struct StopOrder {
  std::string Runner;
  std::string Address;
  RunKey Run;
};

/// Asks a runner what it runs and what has ended, and renews its lease.
struct PollOrder {
  std::string Runner;
  std::string Address;
  /// Counts the looks at this runner.
  std::uint64_t Sequence = 0;
  /// Nothing if the lease is not to be renewed.
  std::optional<std::int64_t> LeaseUntilMs;
  /// Ends up to this number are stored and may be forgotten.
  std::uint64_t EndsStored = 0;
  /// How long the runner may wait for an end before it answers.
  std::uint32_t WaitMs = 0;
};

/// How a runner answered an order.
enum class OrderAnswer : std::uint8_t {
  Done,
  /// A later leader has given orders to it.
  Fenced,
  /// The run, or a later one of the task, has ended or been stopped there.
  Outdated,
  /// The lease was over when the order arrived.
  Late,
  NoRoom,
  TicketInvalid,
  /// Says that it is unwell and has done nothing.
  Unwell,
  /// Another life of the runner answers at this address.
  OtherLife,
  Malformed,
  /// No answer: it may have been carried out, or may be later.
  Silent,
};

/// A run that a runner has at present.
struct RunningRun {
  RunKey Run;
  std::string Checkpoint;
};

/// A run that has ended on a runner. `Number` rises with each end there.
struct EndedRun {
  std::uint64_t Number = 0;
  RunKey Run;
  protocol::RunEnd How = protocol::RUN_END_UNSPECIFIED;
  std::string Checkpoint;
};

/// A runner's answer to a look.
struct PollAnswer {
  OrderAnswer Answer = OrderAnswer::Silent;
  std::int64_t ClockMs = 0;
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
      EnumName<Answer>{Answer::Silent, "silent"}};
};

} // namespace masticwinch
