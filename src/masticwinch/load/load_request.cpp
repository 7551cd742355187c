#include "masticwinch/load/load_request.hpp"

#include "masticwinch/callers/outcome.hpp"
#include "masticwinch/load/load_plan.hpp"

#include <fmt/format.h>

#include <random>

namespace masticwinch {

namespace {

constexpr std::uint16_t FirstSuccess = 200;
constexpr std::uint16_t FirstRedirect = 300;

/// Whether an answer consists of the request's body, optionally preceded by a
/// line that names the upstream.
bool repeatsBody(const std::string &answer, const std::string &body) {
  const std::size_t lineEnd = answer.find('\n');
  return answer == body ||
         (lineEnd != std::string::npos &&
          answer.compare(lineEnd + 1, answer.npos, body) == 0);
}

LoadOutcome classifyResponse(const LoadStream &stream, const std::string &body,
                             const HttpResponse &response) {
  if (response.Status >= FirstSuccess && response.Status < FirstRedirect) {
    const bool bodyMatches =
        !stream.ExpectEcho || repeatsBody(response.Body, body);
    return bodyMatches ? LoadOutcome::Answered : LoadOutcome::WrongAnswer;
  }
  return response.Headers.find(callers::OutcomeHeader) ==
                 nameOf(RequestOutcome::NotRun)
             ? LoadOutcome::NotRun
             : LoadOutcome::ErrorStatus;
}

} // namespace

std::string makeLoadBody(const LoadStream &stream, std::uint64_t seed,
                         std::uint64_t number) {
  std::string body = fmt::format("{}-{}-{};", stream.Name, seed, number);
  std::mt19937_64 random(seed ^ number);
  while (body.size() < stream.BodyBytes) {
    body += fmt::format("{:016x}", random());
  }
  body.resize(std::max(stream.BodyBytes, body.find(';') + 1));
  return body;
}

HttpCall makeLoadCall(const LoadStream &stream, const std::string &target,
                      const std::string &key, const std::string &body) {
  constexpr std::size_t SpareAnswerBytes = 64 * 1024;
  HttpCall call;
  call.Method = stream.Method;
  call.Url = target + stream.Path;
  call.Headers = stream.Headers;
  call.Headers.add(callers::RequestIdHeader, key);
  if (stream.IdempotencyKey) {
    call.Headers.add(callers::IdempotencyKeyHeader, key);
  }
  call.Body = body;
  call.Timeout = stream.Timeout;
  call.ConnectTimeout = stream.Timeout;
  call.MaxAnswerBytes = body.size() + SpareAnswerBytes;
  call.FreshConnection = stream.FreshConnection;
  return call;
}

LoadOutcome classifyLoadCall(const LoadStream &stream, const std::string &body,
                             const HttpCallResult &result) {
  switch (result.Outcome) {
  case HttpOutcome::Answered:
    return classifyResponse(stream, body, result.Response);
  case HttpOutcome::NotSent:
  case HttpOutcome::NoConnection:
    return LoadOutcome::NotSent;
  case HttpOutcome::TimedOut:
    return result.MayHaveBeenSent ? LoadOutcome::TimedOut
                                  : LoadOutcome::NotSent;
  case HttpOutcome::Broken:
  case HttpOutcome::TooLong:
  case HttpOutcome::Cancelled:
    break;
  }
  return LoadOutcome::Broken;
}

bool mayResend(const LoadStream &stream, LoadOutcome outcome) {
  switch (outcome) {
  case LoadOutcome::Answered:
  case LoadOutcome::WrongAnswer:
    return false;
  case LoadOutcome::NotRun:
  case LoadOutcome::NotSent:
    return true;
  case LoadOutcome::ErrorStatus:
  case LoadOutcome::TimedOut:
  case LoadOutcome::Broken:
    return stream.IdempotencyKey;
  }
  return false;
}

} // namespace masticwinch
