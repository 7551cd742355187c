#pragma once

#include "masticwinch/coordination/requests/request_record.hpp"
#include "masticwinch/http/http_message.hpp"

#include <optional>
#include <string>

namespace masticwinch::callers {

/// The first error found in a caller's request.
struct CallerRequestError {
  std::string Message;
  /// Name of the invalid header.
  std::string Field;
};

/// Reads what the dispatcher needs from a request to `service` into `arrival`;
/// returns the first error, if any.
std::optional<CallerRequestError> readCallerRequest(const HttpRequest &request,
                                                    const std::string &service,
                                                    RequestArrival &arrival);

} // namespace masticwinch::callers
