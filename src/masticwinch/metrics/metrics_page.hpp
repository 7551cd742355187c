#pragma once

#include "masticwinch/http/http_message.hpp"

namespace masticwinch {

class MetricRegistry;

/// The answer to GET /metrics on a daemon's operators port.
HttpResponse metricsResponse(const MetricRegistry &registry);

} // namespace masticwinch
