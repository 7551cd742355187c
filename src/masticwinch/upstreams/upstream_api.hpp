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

/// HTTP interface for upstreams, on the callers' port because upstreams reach
/// the entry VMs through the balancer: announce, renew and leave. An answer to
/// any of them means that the cell's replicated state holds it. Runs on the
/// control thread.
class UpstreamApi {
public:
  UpstreamApi(peers::CellClient &client, peers::EntrySession &session)
      : Client(client), Session(session) {}

  /// `POST /v1/upstreams/NAME/announce`, the first time and as a renewal.
  void announce(const std::shared_ptr<HttpExchange> &exchange,
                const RouteMatch &match);

  /// `POST /v1/upstreams/NAME/leave`.
  void leave(const std::shared_ptr<HttpExchange> &exchange,
             const RouteMatch &match);

private:
  peers::CellClient &Client;
  peers::EntrySession &Session;
};

} // namespace masticwinch::upstreams
