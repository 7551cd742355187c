#include "masticwinch/workflow/metrics_endpoint.hpp"

#include "masticwinch/programs/daemon_options.hpp"

#include <asio/post.hpp>

#include <utility>

namespace masticwinch::workflow {

MetricsEndpoint::MetricsEndpoint(const programs::HttpSettings &settings,
                                 asio::io_context &context,
                                 const MetricRegistry &registry,
                                 AccountsPage accounts)
    : Registry(registry), Accounts(std::move(accounts)),
      Server(programs::probeServerOptions(settings),
             [this, &context](std::shared_ptr<HttpExchange> exchange) {
               asio::post(context, [this, exchange] {
                 exchange->respond(responseTo(exchange->request().Path));
               });
             }) {}

HttpResponse MetricsEndpoint::responseTo(const std::string &path) const {
  if (path == "/accounts" && Accounts) {
    return Accounts();
  }
  if (path != "/metrics") {
    return errorResponse(404, "not_found",
                         Accounts ? "only /metrics and /accounts"
                                  : "only /metrics");
  }
  HttpResponse response;
  response.Headers.add("Content-Type", "text/plain; version=0.0.4");
  response.Body = Registry.text();
  return response;
}

} // namespace masticwinch::workflow
