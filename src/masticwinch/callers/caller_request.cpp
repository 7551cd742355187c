#include "masticwinch/callers/caller_request.hpp"

#include "masticwinch/callers/outcome.hpp"
#include "masticwinch/coordination/requests/idempotency_key.hpp"

#include <algorithm>
#include <charconv>

namespace masticwinch::callers {

namespace {

std::string headerOf(const HttpRequest &request, const char *name) {
  return std::string(request.Headers.find(name).value_or(std::string_view()));
}

bool isPrintable(const std::string &text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<CallerRequestError> readIdempotencyKey(const HttpRequest &request,
                                                     RequestArrival &arrival) {
  if (!request.Headers.find(IdempotencyKeyHeader)) {
    return std::nullopt;
  }
  arrival.Key = headerOf(request, IdempotencyKeyHeader);
  if (arrival.Key.empty() || arrival.Key.size() > MaxIdempotencyKeyBytes ||
      !isPrintable(arrival.Key)) {
    return CallerRequestError{
        "must be 1 to 128 printable characters without spaces",
        IdempotencyKeyHeader};
  }
  if (arrival.Caller.empty()) {
    return CallerRequestError{"a key belongs to a caller, who must be named",
                              CallerHeader};
  }
  arrival.KeyCreatedAt = keyCreationTime(arrival.Key).value_or(0);
  arrival.BodyHash = requestBodyHash(
      request.Method, request.Path + '?' + request.Query, request.Body);
  return std::nullopt;
}

std::optional<CallerRequestError> readRepeatable(const HttpRequest &request,
                                                 RequestArrival &arrival) {
  const std::string repeatable = headerOf(request, RepeatableHeader);
  if (!repeatable.empty() && repeatable != "true" && repeatable != "false") {
    return CallerRequestError{"must be true or false", RepeatableHeader};
  }
  arrival.NotRepeatable = repeatable == "false";
  return std::nullopt;
}

std::optional<CallerRequestError> readDeadline(const HttpRequest &request,
                                               RequestArrival &arrival) {
  const std::string text = headerOf(request, DeadlineHeader);
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, milliseconds);
  if (ec != std::errc() || stop != end || milliseconds < 1 ||
      Milliseconds(milliseconds) > MaxRequestDeadline) {
    return CallerRequestError{"must be a number of milliseconds up to 300000",
                              DeadlineHeader};
  }
  arrival.Deadline = Milliseconds(milliseconds);
  return std::nullopt;
}

} // namespace

std::optional<CallerRequestError> readCallerRequest(const HttpRequest &request,
                                                    const std::string &service,
                                                    RequestArrival &arrival) {
  arrival.Service = service;
  arrival.Profile = headerOf(request, ProfileHeader);
  arrival.Caller = headerOf(request, CallerHeader);
  if (arrival.Profile.empty()) {
    return CallerRequestError{"is missing", ProfileHeader};
  }
  if (auto error = readIdempotencyKey(request, arrival)) {
    return error;
  }
  if (auto error = readRepeatable(request, arrival)) {
    return error;
  }
  return readDeadline(request, arrival);
}

} // namespace masticwinch::callers
