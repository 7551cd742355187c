#pragma once

#include "masticwinch/http/http_message.hpp"

namespace masticwinch::callers {

/// The headers of a request that are forwarded to an upstream: all but those
/// that belong to a single connection.
HttpHeaders headersToUpstream(const HttpHeaders &headers);

/// The headers of a response that are forwarded to the caller: all but those
/// that belong to a single connection and those that only this system sets.
HttpHeaders headersToCaller(const HttpHeaders &headers);

} // namespace masticwinch::callers
