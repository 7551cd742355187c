#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <asio/io_context.hpp>

namespace masticwinch::workflow {

/// Serves a registry's metrics at `/metrics` on a separate address. The text is
/// rendered on the control thread, because observed metrics read its state.
class MetricsEndpoint {
public:
  MetricsEndpoint(const programs::HttpSettings &settings,
                  asio::io_context &context, const MetricRegistry &registry);

  void start() { Server.start(); }
  void stop() { Server.stop(); }

private:
  HttpServer Server;
};

} // namespace masticwinch::workflow
