#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::callers {

/// What became of a caller's request; stated on every reply.
enum class Outcome : std::uint8_t {
  /// The upstream answered; the reply is its whole answer.
  Answered,
  /// No upstream ran the request, and none will.
  NotRun,
  /// The request may or may not have run.
  Unknown,
};

inline constexpr const char *OutcomeHeader = "Masticwinch-Outcome";
inline constexpr const char *AttemptsHeader = "Masticwinch-Attempts";
inline constexpr const char *RequestIdHeader = "Masticwinch-Request-Id";
inline constexpr const char *ProfileHeader = "Masticwinch-Profile";
inline constexpr const char *CallerHeader = "Masticwinch-Caller";
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

/// Facts that every reply to a caller states.
struct ReplyFacts {
  Outcome Result = Outcome::NotRun;
  std::uint32_t Attempts = 0;
  std::string RequestId;
};

/// Adds the facts to a reply as headers.
void stateFacts(HttpResponse &response, const ReplyFacts &facts);

} // namespace masticwinch::callers

namespace masticwinch {

template <> struct EnumNames<callers::Outcome> {
  static constexpr std::array<EnumName<callers::Outcome>, 3> Table{{
      {callers::Outcome::Answered, "answered"},
      {callers::Outcome::NotRun, "not_run"},
      {callers::Outcome::Unknown, "unknown"},
  }};
};

} // namespace masticwinch
