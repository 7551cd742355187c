#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace masticwinch::workflow {

/// Serves a registry's metrics at `/metrics` on a separate address and, on
/// control VMs, the client accounts at `/accounts`. Both are rendered on the
/// control thread, because they read its state.
class MetricsEndpoint {
public:
  /// Renders the response to `/accounts`.
  using AccountsPage = std::function<HttpResponse()>;

  MetricsEndpoint(const programs::HttpSettings &settings,
                  asio::io_context &context, const MetricRegistry &registry,
                  AccountsPage accounts = nullptr);

  void start() { Server.start(); }
  void stop() { Server.stop(); }

  /// The response to a request for `path`.
  HttpResponse responseTo(const std::string &path) const;

  std::uint16_t port() const { return Server.port(); }
  const HttpServer &server() const { return Server; }

private:
  const MetricRegistry &Registry;
  AccountsPage Accounts;
  HttpServer Server;
};

} // namespace masticwinch::workflow
