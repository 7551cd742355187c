#pragma once

#include "masticwinch/http/route.hpp"

#include <memory>

namespace masticwinch {
class HttpExchange;
class EventLog;
} // namespace masticwinch

namespace masticwinch::protocol {
class CommandResult;
} // namespace masticwinch::protocol

namespace masticwinch::peers {
class CellClient;
class EntrySession;
enum class CellCallOutcome : unsigned char;
} // namespace masticwinch::peers

namespace masticwinch::upstreams {

/// HTTP interface for upstreams to announce, renew and leave. It is served on
/// the callers' port because upstreams reach the entry VMs through the
/// balancer. A successful response means that the cell's replicated state
/// contains the change. Runs on the control thread.
class UpstreamApi {
public:
  UpstreamApi(peers::CellClient &client, peers::EntrySession &session)
      : Client(client), Session(session) {}

  /// Handles `POST /v1/upstreams/NAME/announce`, both the first one and
  /// renewals.
  void announce(const std::shared_ptr<HttpExchange> &exchange,
                const RouteMatch &match);

  /// Handles `POST /v1/upstreams/NAME/leave`.
  void leave(const std::shared_ptr<HttpExchange> &exchange,
             const RouteMatch &match);

private:
  peers::CellClient &Client;
  peers::EntrySession &Session;
};

} // namespace masticwinch::upstreams
