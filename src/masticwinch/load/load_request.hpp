#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/http/http_client.hpp"

#include <cstdint>
#include <string>

namespace masticwinch {

struct LoadStream;

/// How a request of the load ended, as its caller sees it.
enum class LoadOutcome : std::uint8_t {
  /// The whole answer to this very request, with a 2xx status.
  Answered,
  /// An answer with another body than this request's.
  WrongAnswer,
  /// A 4xx or 5xx status that says that the request was not run.
  NotRun,
  /// Any other 4xx or 5xx status.
  ErrorStatus,
  /// No connection was made.
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

/// A request's body: its identity, filled up to the stream's size with text
/// that depends on it, so that no two answers can be confused.
std::string makeLoadBody(const LoadStream &stream, std::uint64_t seed,
                         std::uint64_t number);

/// The HTTP call of one attempt. `target` is a base URL without a path; `key`
/// is the request's id, and its idempotency key if the stream asks for one.
HttpCall makeLoadCall(const LoadStream &stream, const std::string &target,
                      const std::string &key, const std::string &body);

/// Judges the end of one attempt.
LoadOutcome judgeLoadCall(const LoadStream &stream, const std::string &body,
                          const HttpCallResult &result);

/// Whether an attempt that ended so may be sent again: at any time with a key,
/// else only if it certainly was not run.
bool mayResend(const LoadStream &stream, LoadOutcome outcome);

} // namespace masticwinch
