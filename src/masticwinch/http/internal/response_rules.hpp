#pragma once

#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace masticwinch::internal {

/// Text of a status line after the code.
const char *reasonPhrase(std::uint16_t status);

/// Whether a header line of an answer may be sent: it has no line break, and is
/// not one that the server writes itself.
bool isPassedOn(const HttpHeader &line);

/// A whole answer as it stands on the wire, after which the connection closes.
std::string lastAnswerText(const HttpResponse &response);

/// Answer to a request that the parser gave up on. `error` is the name of its
/// error, such as `HPE_CB_body`.
HttpResponse parserErrorResponse(std::string_view error);

} // namespace masticwinch::internal
