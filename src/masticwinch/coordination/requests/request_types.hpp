#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace masticwinch {

/// Number that an entry VM's incarnation gives to a request; grows.
using RequestNumber = std::uint64_t;

/// Number of one sending of a request to one upstream; grows.
using DispatchNumber = std::uint64_t;

/// How a request ended, as it is stated to the caller.
enum class RequestOutcome : std::uint8_t {
  /// The answer of an upstream, whole.
  Answered,
  /// No upstream ran the request, nor will one.
  NotRun,
  /// An upstream may have run the request, or still run it.
  Unknown,
};

template <> struct EnumNames<RequestOutcome> {
  static constexpr std::array<EnumName<RequestOutcome>, 3> Table{{
      {RequestOutcome::Answered, "answered"},
      {RequestOutcome::NotRun, "not_run"},
      {RequestOutcome::Unknown, "unknown"},
  }};
};

/// Why a request got another reply than an upstream's answer.
enum class RefusalReason : std::uint8_t {
  None,
  Draining,
  NotServing,
  UnknownProfile,
  RetiredProfile,
  RateLimit,
  QueueFull,
  DeadlineUnmeetable,
  QueueTimeout,
  DeadlinePassed,
  UpstreamsFailed,
  ClaimTimeout,
  ClaimsFull,
  InProgress,
  KeyOutcomeUnknown,
  KeyBodyDiffers,
  KeyOutsideWindow,
  AnswerNotKept,
};

template <> struct EnumNames<RefusalReason> {
  static constexpr std::array<EnumName<RefusalReason>, 18> Table{{
      {RefusalReason::None, "none"},
      {RefusalReason::Draining, "draining"},
      {RefusalReason::NotServing, "not_serving"},
      {RefusalReason::UnknownProfile, "unknown_profile"},
      {RefusalReason::RetiredProfile, "retired_profile"},
      {RefusalReason::RateLimit, "rate_limit"},
      {RefusalReason::QueueFull, "queue_full"},
      {RefusalReason::DeadlineUnmeetable, "deadline_unmeetable"},
      {RefusalReason::QueueTimeout, "queue_timeout"},
      {RefusalReason::DeadlinePassed, "deadline_passed"},
      {RefusalReason::UpstreamsFailed, "upstreams_failed"},
      {RefusalReason::ClaimTimeout, "claim_timeout"},
      {RefusalReason::ClaimsFull, "claims_full"},
      {RefusalReason::InProgress, "in_progress"},
      {RefusalReason::KeyOutcomeUnknown, "key_outcome_unknown"},
      {RefusalReason::KeyBodyDiffers, "key_body_differs"},
      {RefusalReason::KeyOutsideWindow, "key_outside_window"},
      {RefusalReason::AnswerNotKept, "answer_not_kept"},
  }};
};

/// How one dispatch to an upstream ended.
enum class DispatchResult : std::uint8_t {
  /// A whole answer was received.
  Answered,
  /// No byte of the request left.
  NotSent,
  /// The upstream stated that it did not run the request.
  RefusedNotRun,
  /// The answer was missing, truncated, malformed or too long.
  Broken,
  TimedOut,
  /// Cancelled by this entry VM; the connection is closed.
  Cancelled,
};

template <> struct EnumNames<DispatchResult> {
  static constexpr std::array<EnumName<DispatchResult>, 6> Table{{
      {DispatchResult::Answered, "answered"},
      {DispatchResult::NotSent, "not_sent"},
      {DispatchResult::RefusedNotRun, "refused_not_run"},
      {DispatchResult::Broken, "broken"},
      {DispatchResult::TimedOut, "timed_out"},
      {DispatchResult::Cancelled, "cancelled"},
  }};
};

/// A header line of an answer.
struct AnswerHeader {
  std::string Name;
  std::string Value;
};

/// An upstream's whole answer.
struct Answer {
  std::uint16_t Status = 200;
  std::string ContentType;
  std::string Body;
  /// Headers besides the content type; not kept for resends.
  std::vector<AnswerHeader> Headers = {};
};

using AnswerPointer = std::shared_ptr<const Answer>;

} // namespace masticwinch
