#include "masticwinch/workers/worker_api.hpp"

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workers/worker_announcement.hpp"

namespace masticwinch::workers {

void WorkerApi::announce(const std::shared_ptr<HttpExchange> &exchange,
                         const RouteMatch &match) {
  protocol::Envelope envelope;
  protocol::WorkerAnnouncement &announcement =
      *envelope.mutable_worker_announcement();
  if (const auto problem =
          readAnnouncement(exchange->request().Body, match[0], announcement)) {
    exchange->respond(
        errorResponse(400, "invalid", problem->Reason, problem->Field));
    return;
  }
  if (Client.leader().empty()) {
    exchange->respond(
        errorResponse(503, "no_leader", "the cell's leader is not known here"));
    return;
  }
  Outbox.send(Client.leader(), std::move(envelope));
  exchange->respond(jsonResponse(200, R"({"code":"PASSED_ON"})"));
}

} // namespace masticwinch::workers
