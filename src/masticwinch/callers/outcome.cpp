#include "masticwinch/callers/outcome.hpp"

namespace masticwinch::callers {

void stateFacts(HttpResponse &response, const ReplyFacts &facts) {
  response.Headers.add(OutcomeHeader, std::string(nameOf(facts.Result)));
  response.Headers.add(AttemptsHeader, std::to_string(facts.Attempts));
  response.Headers.add(RequestIdHeader, facts.RequestId);
}

} // namespace masticwinch::callers
