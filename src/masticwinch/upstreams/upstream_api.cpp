#include "masticwinch/upstreams/upstream_api.hpp"

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/operators/json_codec.hpp"
#include "masticwinch/operators/operators_api.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/entry_session.hpp"
#include "masticwinch/upstreams/announcement.hpp"

namespace masticwinch::upstreams {

namespace {

/// Returns a callback that answers the upstream with a command's outcome.
peers::CommandDone respondTo(std::shared_ptr<HttpExchange> exchange) {
  return [exchange](peers::CellCallOutcome kind,
                    const protocol::CommandResult &result) {
    if (kind == peers::CellCallOutcome::Answered) {
      exchange->respond(operators::commandResponse(result));
      return;
    }
    exchange->respond(errorResponse(504, "unknown",
                                    "no answer from the cell's leader in time; "
                                    "send the same again"));
  };
}

bool readUpstream(HttpExchange &exchange, const RouteMatch &match,
                  protocol::Upstream &upstream) {
  const std::string problem =
      operators::parseJson(exchange.request().Body, upstream);
  if (!problem.empty()) {
    exchange.respond(errorResponse(400, "invalid_json", problem, "body"));
    return false;
  }
  upstream.set_name(match[0]);
  return true;
}

} // namespace

void UpstreamApi::announce(const std::shared_ptr<HttpExchange> &exchange,
                           const RouteMatch &match) {
  protocol::Upstream upstream;
  if (!readUpstream(*exchange, match, upstream)) {
    return;
  }
  if (const auto problem = checkAnnouncement(upstream)) {
    exchange->respond(
        errorResponse(400, "invalid", problem->Reason, problem->Field));
    return;
  }
  const protocol::ConfigItem *item = Session.configuration().findPresent(
      {cell::ConfigKind::Upstream, upstream.name()});
  if (Session.mayServe() && item != nullptr &&
      item->upstream().incarnation() == upstream.incarnation()) {
    Session.renewUpstream(upstream.name(), upstream.incarnation());
    exchange->respond(jsonResponse(200, R"({"code":"RENEWED"})"));
    return;
  }
  protocol::Command command;
  *command.mutable_announce_upstream()->mutable_upstream() = upstream;
  Client.submit(std::move(command), respondTo(exchange));
}

void UpstreamApi::leave(const std::shared_ptr<HttpExchange> &exchange,
                        const RouteMatch &match) {
  protocol::Upstream upstream;
  if (!readUpstream(*exchange, match, upstream)) {
    return;
  }
  protocol::Command command;
  command.mutable_leave_upstream()->set_name(upstream.name());
  command.mutable_leave_upstream()->set_incarnation(upstream.incarnation());
  Client.submit(std::move(command), respondTo(exchange));
}

} // namespace masticwinch::upstreams
