#include "masticwinch/workflow/metrics_endpoint.hpp"

#include "masticwinch/programs/daemon_options.hpp"

#include <asio/post.hpp>

namespace masticwinch::workflow {

MetricsEndpoint::MetricsEndpoint(const programs::HttpSettings &settings,
                                 asio::io_context &context,
                                 const MetricRegistry &registry)
    : Server(programs::serverOptions(settings),
             [&context, &registry](std::shared_ptr<HttpExchange> exchange) {
               asio::post(context, [&registry, exchange] {
                 if (exchange->request().Path != "/metrics") {
                   exchange->respond(
                       errorResponse(404, "not_found", "only /metrics"));
                   return;
                 }
                 HttpResponse response;
                 response.Headers.add("Content-Type",
                                      "text/plain; version=0.0.4");
                 response.Body = registry.text();
                 exchange->respond(std::move(response));
               });
             }) {}

} // namespace masticwinch::workflow
