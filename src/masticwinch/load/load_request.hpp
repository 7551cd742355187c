#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/http/http_client.hpp"

#include <cstdint>
#include <string>

namespace masticwinch {

struct LoadStream;

/// Outcome of a request as seen by its caller.
enum class LoadOutcome : std::uint8_t {
  /// A complete answer to this request with a 2xx status.
  Answered,
  /// A 2xx answer that does not repeat this request's body.
  WrongAnswer,
  /// A status other than 2xx with the outcome header `not_run`.
  NotRun,
  /// Any other status that is not 2xx.
  ErrorStatus,
  /// The request was not sent, for example because no connection was made.
  NotSent,
  TimedOut,
  /// A truncated or malformed answer, or a closed connection.
  Broken,
};

template <> struct EnumNames<LoadOutcome> {
  static constexpr std::array<EnumName<LoadOutcome>, 7> Table{{
      {LoadOutcome::Answered, "answered"},
      {LoadOutcome::WrongAnswer, "wrong_answer"},
      {LoadOutcome::NotRun, "not_run"},
      {LoadOutcome::ErrorStatus, "error_status"},
      {LoadOutcome::NotSent, "not_sent"},
      {LoadOutcome::TimedOut, "timed_out"},
      {LoadOutcome::Broken, "broken"},
  }};
};

/// Returns a request's body: a unique id, padded to the stream's body size with
/// pseudo-random text derived from the seed and number, so that an answer to a
/// different request is detected.
std::string makeLoadBody(const LoadStream &stream, std::uint64_t seed,
                         std::uint64_t number);

/// Returns the HTTP call for one attempt. `target` is a base URL without a
/// path. `key` is sent as the request id, and as the idempotency key if the
/// stream uses one.
HttpCall makeLoadCall(const LoadStream &stream, const std::string &target,
                      const std::string &key, const std::string &body);

/// Determines the outcome of one attempt.
LoadOutcome classifyLoadCall(const LoadStream &stream, const std::string &body,
                             const HttpCallResult &result);

/// Whether a request may be sent again after this outcome. Unanswered requests
/// with an idempotency key always may; those without only if they were
/// certainly not run.
bool mayResend(const LoadStream &stream, LoadOutcome outcome);

} // namespace masticwinch
