#pragma once

#include "masticwinch/http/http_message.hpp"
#include "masticwinch/http/route.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace masticwinch {
class HttpExchange;
}

namespace masticwinch::protocol {
class Command;
class CommandResult;
class QueryRequest;
} // namespace masticwinch::protocol

namespace masticwinch::peers {
class CellClient;
}

namespace masticwinch::operators {

/// Callbacks for the endpoints that each daemon answers locally on its
/// operators' port.
struct DaemonEndpoints {
  /// Whether the process is healthy, for the health checks of the load
  /// balancer.
  std::function<bool()> Healthy;
  /// Metrics in the Prometheus text exposition format.
  std::function<std::string()> Metrics;
};

/// HTTP interface for operators, the same on every daemon: profiles, teams,
/// VMs, jobs and the configuration in force. Requests arrive on the HTTP
/// server's threads and are handled on the control thread.
class OperatorsApi {
public:
  OperatorsApi(asio::io_context &control, peers::CellClient &client,
               DaemonEndpoints endpoints);
  ~OperatorsApi();

  /// Routes a request to its handler. An unknown path is answered with 404, an
  /// unsupported method with 405.
  void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
  using Handler =
      std::function<void(std::shared_ptr<HttpExchange>, const RouteMatch &)>;
  struct Route {
    std::string Method;
    std::string Pattern;
    Handler Handle;
  };

  void addRoute(std::string method, std::string pattern, Handler handler);
  void addDaemonRoutes();
  void addProfiles();
  void addVmsAndTeams();
  void addJobs();
  void addPlacement();
  void addMembers();
  void addListing(const std::string &path, const std::string &kind);
  void submit(std::shared_ptr<HttpExchange> exchange,
              protocol::Command command);
  void query(std::shared_ptr<HttpExchange> exchange,
             protocol::QueryRequest request);

  asio::io_context &Control;
  peers::CellClient &Client;
  DaemonEndpoints Endpoints;
  std::vector<Route> Routes;
};

/// Converts a command's result to an HTTP response.
HttpResponse commandResponse(const protocol::CommandResult &result);

} // namespace masticwinch::operators
