#pragma once

#include "masticwinch/callers/outcome.hpp"
#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/route.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace masticwinch {
class EventLog;
class HttpExchange;
} // namespace masticwinch

namespace masticwinch::protocol {
class Upstream;
} // namespace masticwinch::protocol

namespace masticwinch::peers {
class EntrySession;
}

namespace masticwinch::callers {

/// Forwards callers' requests to announced upstreams, one attempt each. Each
/// entry VM uses an equal share of every upstream's slots, so that the sum over
/// all entry VMs stays within them. Runs on the control thread.
class RequestForwarder {
public:
  RequestForwarder(peers::EntrySession &session, HttpClient &client,
                   const Clock &clock, EventLog &events)
      : Session(session), Client(client), Time(clock), Events(events) {}

  /// `ANY /v1/services/SERVICE/PATH` with the profile named in a header.
  void forward(const std::shared_ptr<HttpExchange> &exchange,
               const RouteMatch &match);

  /// Takes no new requests from now on.
  void drain() { Draining = true; }

  /// Requests that have not been answered yet.
  std::size_t pending() const { return Pending; }

private:
  struct Request;

  void refuse(const std::shared_ptr<Request> &request, std::uint16_t status,
              std::string_view code, std::string_view message,
              std::string_view field = "");
  void dispatch(const std::shared_ptr<Request> &request);
  void dispatchQueued();
  void refuseExpired();
  const protocol::Upstream *chooseUpstream(const std::string &service) const;
  std::uint32_t slotShare(const protocol::Upstream &upstream) const;
  void finish(const std::shared_ptr<Request> &request,
              const std::string &upstream, HttpCallResult result);

  static constexpr std::size_t MaxQueued = 1024;

  peers::EntrySession &Session;
  HttpClient &Client;
  const Clock &Time;
  EventLog &Events;
  std::map<std::string, std::uint32_t> SlotsInUse;
  std::deque<std::shared_ptr<Request>> Queue;
  std::size_t Pending = 0;
  bool Draining = false;
};

} // namespace masticwinch::callers
