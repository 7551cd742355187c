#include "masticwinch/ctl/cell_connection.hpp"

#include <asio/io_context.hpp>

namespace masticwinch::ctl {

namespace {

constexpr std::uint16_t GatewayTimeout = 504;

/// Whether another daemon than the leader answered.
bool isOfOther(const HttpResponse &response) {
  return response.Status == 503 || response.Status == 404;
}

} // namespace

HttpCallResult CellConnection::callServer(const std::string &server,
                                          const CellRequest &request) {
  asio::io_context context{1};
  HttpClient client(context);
  HttpCall call;
  call.Method = request.Method;
  call.Url = server + request.Path;
  call.Body = request.Body;
  call.Timeout = Options.Timeout;
  call.Headers.add("Masticwinch-Operator", Options.Operator);
  call.Headers.add("Masticwinch-Request-Id", Options.RequestId);
  HttpCallResult result;
  client.start(std::move(call), [&](HttpCallResult it) {
    result = std::move(it);
    context.stop();
  });
  context.run();
  return result;
}

HttpCallResult CellConnection::call(const CellRequest &request) {
  HttpCallResult last;
  for (const std::string &it : Options.Servers) {
    HttpCallResult result = callServer(it, request);
    const bool answered = result.Outcome == HttpOutcome::Answered &&
                          result.Response.Status != GatewayTimeout;
    if (answered && !(request.LeaderOnly && isOfOther(result.Response))) {
      return result;
    }
    if (answered || !request.LeaderOnly ||
        last.Outcome != HttpOutcome::Answered) {
      last = std::move(result);
    }
  }
  return last;
}

} // namespace masticwinch::ctl
