#include "masticwinch/callers/caller_reply.hpp"

#include "masticwinch/callers/outcome.hpp"

#include <chrono>

namespace masticwinch::callers {

namespace {

std::uint16_t statusOf(RefusalReason reason) {
  switch (reason) {
  case RefusalReason::UnknownProfile:
    return 404;
  case RefusalReason::RetiredProfile:
  case RefusalReason::AnswerNotKept:
    return 410;
  case RefusalReason::RateLimit:
    return 429;
  case RefusalReason::InProgress:
  case RefusalReason::KeyOutcomeUnknown:
    return 409;
  case RefusalReason::KeyBodyDiffers:
  case RefusalReason::KeyOutsideWindow:
    return 422;
  case RefusalReason::DeadlinePassed:
    return 504;
  case RefusalReason::UpstreamsFailed:
    return 502;
  default:
    return 503;
  }
}

std::string_view messageOf(RequestOutcome outcome) {
  return outcome == RequestOutcome::NotRun
             ? "the request was not run; it may be sent again"
             : "the request may have run; see docs/callers.md";
}

HttpResponse responseFrom(const Answer &answer) {
  HttpResponse response;
  response.Status = answer.Status;
  for (const AnswerHeader &it : answer.Headers) {
    response.Headers.add(it.Name, it.Value);
  }
  if (!answer.ContentType.empty()) {
    response.Headers.add("Content-Type", answer.ContentType);
  }
  response.Body = answer.Body;
  return response;
}

} // namespace

HttpResponse replyToCaller(const ReplyToCaller &reply,
                           const std::string &requestId) {
  HttpResponse response;
  if (reply.FullAnswer != nullptr) {
    response = responseFrom(*reply.FullAnswer);
  } else {
    response = errorResponse(statusOf(reply.Reason), nameOf(reply.Reason),
                             messageOf(reply.Outcome));
  }
  if (reply.RetryAfter > Milliseconds(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(reply.RetryAfter);
    response.Headers.add("Retry-After", std::to_string(seconds.count()));
  }
  addMetadataHeaders(response, {reply.Outcome, reply.Attempts, requestId});
  return response;
}

} // namespace masticwinch::callers
