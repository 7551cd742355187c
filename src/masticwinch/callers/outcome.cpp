#include "masticwinch/callers/outcome.hpp"

namespace masticwinch::callers {

void addMetadataHeaders(HttpResponse &response, const ReplyMetadata &metadata) {
  response.Headers.add(OutcomeHeader, std::string(nameOf(metadata.Result)));
  response.Headers.add(AttemptsHeader, std::to_string(metadata.Attempts));
  response.Headers.add(RequestIdHeader, metadata.RequestId);
}

} // namespace masticwinch::callers
