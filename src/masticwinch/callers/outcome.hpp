#pragma once

#include "masticwinch/coordination/requests/request_types.hpp"
#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::callers {

inline constexpr const char *OutcomeHeader = "Masticwinch-Outcome";
inline constexpr const char *AttemptsHeader = "Masticwinch-Attempts";
inline constexpr const char *RequestIdHeader = "Masticwinch-Request-Id";
inline constexpr const char *ProfileHeader = "Masticwinch-Profile";
inline constexpr const char *CallerHeader = "Masticwinch-Caller";
inline constexpr const char *RepeatableHeader = "Masticwinch-Repeatable";
inline constexpr const char *DeadlineHeader = "Masticwinch-Deadline-Ms";
/// `true` on an upstream's response if the upstream did not run the request.
inline constexpr const char *NotRunHeader = "Masticwinch-Not-Run";
inline constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

/// Metadata that every reply to a caller includes.
struct ReplyMetadata {
  RequestOutcome Result = RequestOutcome::NotRun;
  std::uint32_t Attempts = 0;
  std::string RequestId;
};

/// Adds the metadata to a reply as headers.
void addMetadataHeaders(HttpResponse &response, const ReplyMetadata &metadata);

} // namespace masticwinch::callers
