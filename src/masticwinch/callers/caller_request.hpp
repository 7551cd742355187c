#pragma once

#include "masticwinch/coordination/requests/request_record.hpp"
#include "masticwinch/http/http_message.hpp"

#include <optional>
#include <string>

namespace masticwinch::callers {

/// What is wrong with a caller's request.
struct CallerRequestError {
  std::string Message;
  /// Header that is wrong.
  std::string Field;
};

/// Reads what the dispatcher needs from a request to `service`; gives the
/// first thing that is wrong otherwise.
std::optional<CallerRequestError> readCallerRequest(const HttpRequest &request,
                                                    const std::string &service,
                                                    RequestArrival &arrival);

} // namespace masticwinch::callers
