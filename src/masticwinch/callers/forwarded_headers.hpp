#pragma once

#include "masticwinch/http/http_message.hpp"

namespace masticwinch::callers {

/// The headers of a request that an upstream gets: all but those that belong to
/// one connection.
HttpHeaders headersToUpstream(const HttpHeaders &headers);

/// The headers of an answer that a caller gets: as above, and without those
/// that only this system states.
HttpHeaders headersToCaller(const HttpHeaders &headers);

} // namespace masticwinch::callers
