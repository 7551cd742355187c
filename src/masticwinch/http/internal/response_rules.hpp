#pragma once

#include "masticwinch/http/http_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace masticwinch::internal {

/// Reason phrase of a status line.
const char *reasonPhrase(std::uint16_t status);

/// Whether a response header may be sent: it has a name, contains no line break
/// or NUL and is not one that the server generates.
bool isSendableHeader(const HttpHeader &line);

/// Serializes a response with `Connection: close`.
std::string serializeFinalResponse(const HttpResponse &response);

/// Response to a request that the parser rejected. `error` is the name of the
/// parser error, such as `HPE_CB_body`.
HttpResponse parserErrorResponse(std::string_view error);

} // namespace masticwinch::internal
