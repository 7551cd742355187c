#include "masticwinch/metrics/metrics_page.hpp"

#include "masticwinch/metrics/metric_registry.hpp"

namespace masticwinch {

HttpResponse metricsResponse(const MetricRegistry &registry) {
  HttpResponse response;
  response.Headers =
      HttpHeaders{{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}};
  response.Body = registry.text();
  return response;
}

} // namespace masticwinch
