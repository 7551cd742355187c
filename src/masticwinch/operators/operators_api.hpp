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

/// What a daemon itself answers on its operators' port.
struct DaemonPages {
  /// Whether the process is fit for its work, for the balancer.
  std::function<bool()> Healthy;
  /// Metrics in the text exposition format.
  std::function<std::string()> Metrics;
};

/// HTTP interface for operators, the same on every daemon: profiles, teams,
/// VMs, jobs and what is in force. Requests are taken from the server's threads
/// and carried out on the control thread.
class OperatorsApi {
public:
  OperatorsApi(asio::io_context &control, peers::CellClient &client,
               DaemonPages pages);
  ~OperatorsApi();

  /// Answers one request.
  void handle(const std::shared_ptr<HttpExchange> &exchange);

private:
  using Handler =
      std::function<void(std::shared_ptr<HttpExchange>, const RouteMatch &)>;
  struct Route {
    std::string Method;
    std::string Pattern;
    Handler Handle;
  };

  void add(std::string method, std::string pattern, Handler handler);
  void addPages();
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
  DaemonPages Pages;
  std::vector<Route> Routes;
};

/// The answer that states a command's result.
HttpResponse commandResponse(const protocol::CommandResult &result);

} // namespace masticwinch::operators
