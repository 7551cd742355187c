#pragma once

#include "masticwinch/callers/request_metrics.hpp"
#include "masticwinch/coordination/requests/claim_client.hpp"
#include "masticwinch/coordination/requests/dispatcher.hpp"
#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/route.hpp"

#include <asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwinch {
class EventLog;
class HttpExchange;
} // namespace masticwinch

namespace masticwinch::protocol {
class Envelope;
}

namespace masticwinch::peers {
class CellClient;
class EntrySession;
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::upstreams {
class TrafficPool;
}

namespace masticwinch::callers {

/// Connects the dispatcher with callers, upstreams, the other entry VMs and the
/// replicated state: passes events to it and applies its effects. Runs on the
/// control thread.
class RequestService {
public:
  RequestService(asio::io_context &context, const Clock &clock,
                 peers::EntrySession &session, peers::CellClient &cell,
                 peers::Mailbox &mailbox, upstreams::TrafficPool &traffic,
                 EventLog &events, MetricRegistry &metrics,
                 DispatcherOptions options);

  void start();

  /// Handles `ANY /v1/services/SERVICE/PATH`, with the profile named in a
  /// header.
  void handle(const std::shared_ptr<HttpExchange> &exchange,
              const RouteMatch &match);

  /// Handles a message of another entry VM; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// Stops accepting new requests.
  void drain();

  /// Whether all requests and claims of this entry VM have ended and its slots
  /// are handed over.
  bool isDrained() const;

  /// Requests that have not ended yet.
  std::size_t pending() const { return Requests.size(); }
  DispatcherCounts counts() const {
    return RequestDispatcher.counts(Time.now());
  }

private:
  struct CallerRequest {
    std::shared_ptr<HttpExchange> Exchange;
    std::string Id;
    std::string Path;
    MetricClass Class = MetricClass::Unknown;
    SteadyTime ArrivedAt{};
    bool Dispatched = false;
  };

  MetricClass classOf(const std::string &profile) const;
  void configurationChanged();
  void leaseExtended();
  void scheduleTick();
  void applyEffects();
  void apply(ChangeClaim &effect);
  void apply(StartDispatch &effect);
  void apply(CancelDispatch &effect);
  void apply(ReplyToCaller &effect);
  void apply(DiscardRequest &effect);
  void apply(PeerMessage &effect);
  HttpCall callOf(const CallerRequest &request,
                  const StartDispatch &effect) const;
  void logAttemptEnd(const StartDispatch &effect, const std::string &id,
                     const HttpCallResult &result);
  void dispatchEnded(DispatchNumber number, HttpCallResult result);
  void submitClaims();
  void claimsAnswered(std::uint64_t number, bool answered,
                      const protocol::CommandResult &result);

  const Clock &Time;
  peers::EntrySession &Session;
  peers::CellClient &Cell;
  peers::Mailbox &Outbox;
  upstreams::TrafficPool &Traffic;
  EventLog &Events;
  RequestMetrics Metrics;
  asio::steady_timer Timer;
  Dispatcher RequestDispatcher;
  ClaimClient Claims;
  std::unordered_map<RequestNumber, CallerRequest> Requests;
  /// The request that is being handled; the dispatcher may emit effects for it
  /// before its number is known.
  CallerRequest ArrivingRequest;
  std::uint64_t ConfiguredRevision = 0;
};

} // namespace masticwinch::callers
