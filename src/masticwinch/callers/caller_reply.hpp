#pragma once

#include "masticwinch/coordination/requests/request_effects.hpp"
#include "masticwinch/http/http_message.hpp"

#include <string>

namespace masticwinch::callers {

/// Builds the HTTP response for the dispatcher's reply, with the outcome, the
/// number of attempts and the request's id in headers.
HttpResponse replyToCaller(const ReplyToCaller &reply,
                           const std::string &requestId);

} // namespace masticwinch::callers
