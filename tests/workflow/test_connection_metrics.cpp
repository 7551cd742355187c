#include "masticwinch/http/http_server.hpp"
#include "masticwinch/metrics/metric_registry.hpp"
#include "masticwinch/workflow/daemon_metrics.hpp"

#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"

using namespace masticwinch;
using testing::eventually;
using testing::RawCaller;

TEST_CASE("The metrics tell refused connections from those that made room",
          "[http]") {
  std::shared_ptr<HttpExchange> held;
  HttpServer server({.MaxConnections = 1},
                    [&](std::shared_ptr<HttpExchange> it) { held = it; });
  MetricRegistry registry;
  workflow::registerConnectionMetrics(registry, server);
  const auto shows = [&](const std::string &line) {
    return registry.text().find("\nmasticwinch_connections_" + line + "\n") !=
           std::string::npos;
  };
  server.start();
  RawCaller silent(server.port());
  RawCaller served(server.port());
  REQUIRE(silent.isClosedWithin(std::chrono::seconds(3)));
  served.send("GET / HTTP/1.1\r\nExpect: 100-continue\r\n\r\n");
  REQUIRE(served.receives("100"));
  RawCaller refused(server.port());
  REQUIRE(refused.isClosedWithin(std::chrono::seconds(3)));
  CHECK(shows("open 1"));
  CHECK(shows("limit 1"));
  CHECK(shows("admitted_total 2"));
  CHECK(shows("refused_total 1"));
  CHECK(eventually([&] { return shows("closed_total{reason=\"room\"} 1"); }));
}
