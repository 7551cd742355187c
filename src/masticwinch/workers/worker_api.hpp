#pragma once

#include "masticwinch/http/route.hpp"

#include <memory>

namespace masticwinch {
class HttpExchange;
}

namespace masticwinch::peers {
class CellClient;
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::workers {

/// HTTP interface for the agents of worker VMs. It is served on the callers'
/// port because agents reach the entry VMs through the balancer. An
/// announcement is soft state of the leader: it is forwarded and repeated, but
/// never written to the replicated log. Runs on the control thread.
class WorkerApi {
public:
  WorkerApi(peers::CellClient &client, peers::Mailbox &mailbox)
      : Client(client), Outbox(mailbox) {}

  /// Handles `POST /v1/workers/NAME/announce`.
  void announce(const std::shared_ptr<HttpExchange> &exchange,
                const RouteMatch &match);

private:
  peers::CellClient &Client;
  peers::Mailbox &Outbox;
};

} // namespace masticwinch::workers
