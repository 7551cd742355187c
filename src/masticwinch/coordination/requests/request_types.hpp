#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace masticwinch {

/// Number of a request, increasing within an incarnation of an entry VM.
using RequestNumber = std::uint64_t;

/// Number of one attempt to send a request to an upstream; increasing.
using DispatchNumber = std::uint64_t;

/// Identifies one incarnation of an upstream.
struct UpstreamIncarnation {
  std::string Name;
  std::uint64_t Incarnation = 0;
};

/// Outcome of a request as reported to the caller.
enum class RequestOutcome : std::uint8_t {
  /// The complete answer of an upstream was returned.
  Answered,
  /// No upstream ran the request or will run it.
  NotRun,
  /// An upstream may have run the request or may still be running it.
  Unknown,
};

template <> struct EnumNames<RequestOutcome> {
  static constexpr std::array<EnumName<RequestOutcome>, 3> Table{{
      {RequestOutcome::Answered, "answered"},
      {RequestOutcome::NotRun, "not_run"},
      {RequestOutcome::Unknown, "unknown"},
  }};
};

/// Why a request got a reply other than an upstream's answer.
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

/// Result of one dispatch to an upstream.
enum class DispatchResult : std::uint8_t {
  /// A complete answer was received.
  Answered,
  /// No byte of the request was sent.
  NotSent,
  /// The upstream declared that it did not run the request.
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

/// A header field of an answer.
struct AnswerHeader {
  std::string Name;
  std::string Value;
};

/// A complete answer of an upstream.
struct Answer {
  std::uint16_t Status = 200;
  std::string ContentType;
  std::string Body;
  /// Headers except the content type; not stored for resends.
  std::vector<AnswerHeader> Headers = {};
};

using AnswerPointer = std::shared_ptr<const Answer>;

} // namespace masticwinch
