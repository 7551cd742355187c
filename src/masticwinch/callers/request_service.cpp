#include "masticwinch/callers/request_service.hpp"

#include "masticwinch/callers/caller_event.hpp"
#include "masticwinch/callers/caller_reply.hpp"
#include "masticwinch/callers/caller_request.hpp"
#include "masticwinch/callers/forwarded_headers.hpp"
#include "masticwinch/callers/outcome.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/operators/request_id.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/entry_session.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/upstreams/traffic_pool.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace masticwinch::callers {

namespace {

/// Maximum time between two ticks of the dispatcher.
constexpr Milliseconds TickInterval{20};

/// Time after which a batch of claims is sent again; the cell client's own
/// retries end before.
constexpr Milliseconds ClaimResendInterval{6000};

DispatchResult resultOf(const HttpCallResult &result) {
  switch (result.Outcome) {
  case HttpOutcome::Answered:
    return result.Response.Headers.find(NotRunHeader) == "true"
               ? DispatchResult::RefusedNotRun
               : DispatchResult::Answered;
  case HttpOutcome::NotSent:
  case HttpOutcome::NoConnection:
    return DispatchResult::NotSent;
  case HttpOutcome::TimedOut:
    return result.MayHaveBeenSent ? DispatchResult::TimedOut
                                  : DispatchResult::NotSent;
  case HttpOutcome::Cancelled:
    return DispatchResult::Cancelled;
  default:
    return DispatchResult::Broken;
  }
}

AnswerPointer answerOf(HttpResponse response) {
  Answer answer;
  answer.Status = response.Status;
  const HttpHeaders forwarded = headersToCaller(response.Headers);
  for (const HttpHeader &it : forwarded.lines()) {
    if (forwarded.find("Content-Type") == it.Value &&
        answer.ContentType.empty()) {
      answer.ContentType = it.Value;
    } else {
      answer.Headers.push_back({it.Name, it.Value});
    }
  }
  answer.Body = std::move(response.Body);
  return std::make_shared<const Answer>(std::move(answer));
}

} // namespace

RequestService::RequestService(asio::io_context &context, const Clock &clock,
                               peers::EntrySession &session,
                               peers::CellClient &cell, peers::Mailbox &mailbox,
                               upstreams::TrafficPool &traffic,
                               EventLog &events, MetricRegistry &metrics,
                               DispatcherOptions options)
    : Time(clock), Session(session), Cell(cell), Outbox(mailbox),
      Traffic(traffic), Events(events), Metrics(metrics), Timer(context),
      RequestDispatcher(options), Claims(options.Self, ClaimResendInterval) {}

void RequestService::start() {
  Session.onConfigurationChange([this] { configurationChanged(); });
  Session.onLeaseExtended([this] { leaseExtended(); });
  scheduleTick();
}

void RequestService::configurationChanged() {
  std::vector<protocol::ConfigItem> items;
  const cell::Configuration &configuration = Session.configuration();
  for (const protocol::ConfigItem *it :
       configuration.changesSince(ConfiguredRevision)) {
    items.push_back(*it);
  }
  ConfiguredRevision = configuration.revision();
  RequestDispatcher.configure(items, Time.now());
  applyEffects();
}

void RequestService::leaseExtended() {
  RequestDispatcher.serveUntil(Session.servingUntil(), Time.now());
  applyEffects();
}

void RequestService::scheduleTick() {
  const SteadyTime now = Time.now();
  const SteadyTime wakeAt =
      std::min(now + TickInterval,
               RequestDispatcher.nextWake().value_or(now + TickInterval));
  Timer.expires_after(wakeAt - now);
  Timer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      RequestDispatcher.tick(Time.now());
      applyEffects();
      scheduleTick();
    }
  });
}

void RequestService::handle(const std::shared_ptr<HttpExchange> &exchange,
                            const RouteMatch &match) {
  const HttpRequest &request = exchange->request();
  ArrivingRequest.Exchange = exchange;
  ArrivingRequest.Path = match[1];
  ArrivingRequest.Id = std::string(
      request.Headers.find(RequestIdHeader).value_or(std::string_view()));
  if (ArrivingRequest.Id.empty()) {
    ArrivingRequest.Id = operators::randomRequestId();
  }
  RequestArrival arrival;
  if (const auto error = readCallerRequest(request, match[0], arrival)) {
    HttpResponse response =
        errorResponse(400, "invalid", error->Message, error->Field);
    addMetadataHeaders(response,
                       {RequestOutcome::NotRun, 0, ArrivingRequest.Id});
    exchange->respond(std::move(response));
    return;
  }
  Events.write(CallerEvent::RequestTaken, {{"request", ArrivingRequest.Id},
                                           {"profile", arrival.Profile},
                                           {"version", ConfiguredRevision},
                                           {"service", arrival.Service}});
  ArrivingRequest.Class = classOf(arrival.Profile);
  ArrivingRequest.ArrivedAt = Time.now();
  const RequestNumber number =
      RequestDispatcher.requestArrived(std::move(arrival), Time.now());
  Requests.emplace(number, ArrivingRequest);
  exchange->onCallerGone([this, number] {
    asio::post(Timer.get_executor(), [this, number] {
      if (Requests.contains(number)) {
        RequestDispatcher.callerDisconnected(number, Time.now());
        applyEffects();
      }
    });
  });
  applyEffects();
}

MetricClass RequestService::classOf(const std::string &profile) const {
  const protocol::ConfigItem *item =
      Session.configuration().findPresent({cell::ConfigKind::Profile, profile});
  return metricClassOf(item == nullptr ? nullptr : &item->profile());
}

void RequestService::receive(const protocol::Envelope &envelope) {
  if (envelope.has_request_peer()) {
    RequestDispatcher.peerMessageReceived(
        {envelope.sender(), envelope.incarnation()}, envelope.request_peer(),
        Time.now());
    applyEffects();
  }
}

void RequestService::drain() {
  RequestDispatcher.drain();
  Session.announceLeaving();
}

bool RequestService::isDrained() const {
  return RequestDispatcher.idle() && Claims.idle() &&
         !RequestDispatcher.slotOwner().hasPendingHandovers() &&
         Session.isLeaving();
}

void RequestService::applyEffects() {
  for (std::vector<RequestEffect> effects = RequestDispatcher.takeEffects();
       !effects.empty(); effects = RequestDispatcher.takeEffects()) {
    for (RequestEffect &it : effects) {
      std::visit([this](auto &effect) { apply(effect); }, it);
    }
  }
  submitClaims();
}

void RequestService::apply(ChangeClaim &effect) { Claims.add(effect); }

void RequestService::apply(StartDispatch &effect) {
  const DispatchNumber number = effect.Number;
  const auto found = Requests.find(effect.Request);
  if (found == Requests.end() || Time.now() >= effect.StartBefore) {
    RequestDispatcher.dispatchEnded(number, DispatchResult::NotSent, nullptr,
                                    Time.now());
    return;
  }
  Events.write(CallerEvent::RequestDispatched, {{"request", found->second.Id},
                                                {"attempt", effect.Attempt},
                                                {"upstream", effect.Upstream}});
  if (!std::exchange(found->second.Dispatched, true)) {
    Metrics.dispatched(found->second.Class,
                       Time.now() - found->second.ArrivedAt);
  }
  Traffic.start(number, callOf(found->second, effect), effect.StartBefore,
                [this, effect, id = found->second.Id](HttpCallResult result) {
                  logAttemptEnd(effect, id, result);
                  dispatchEnded(effect.Number, std::move(result));
                });
}

void RequestService::logAttemptEnd(const StartDispatch &effect,
                                   const std::string &id,
                                   const HttpCallResult &result) {
  Events.write(CallerEvent::AttemptEnded, {{"request", id},
                                           {"attempt", effect.Attempt},
                                           {"upstream", effect.Upstream},
                                           {"result", nameOf(resultOf(result))},
                                           {"detail", result.Detail}});
}

HttpCall RequestService::callOf(const CallerRequest &request,
                                const StartDispatch &effect) const {
  const HttpRequest &original = request.Exchange->request();
  HttpCall call;
  call.Method = original.Method;
  call.Url = "http://" + effect.Address + request.Path +
             (original.Query.empty() ? "" : "?" + original.Query);
  call.Headers = headersToUpstream(original.Headers);
  if (!call.Headers.find(RequestIdHeader)) {
    call.Headers.add(RequestIdHeader, request.Id);
  }
  call.Body = original.Body;
  call.Timeout = effect.Timeout;
  call.FreshConnection = effect.FreshConnection;
  return call;
}

void RequestService::dispatchEnded(DispatchNumber number,
                                   HttpCallResult result) {
  const DispatchResult kind = resultOf(result);
  AnswerPointer answer;
  if (kind == DispatchResult::Answered) {
    answer = answerOf(std::move(result.Response));
  }
  RequestDispatcher.dispatchEnded(number, kind, std::move(answer), Time.now());
  applyEffects();
}

void RequestService::apply(CancelDispatch &effect) {
  Traffic.cancel(effect.Number);
}

void RequestService::apply(ReplyToCaller &effect) {
  const auto found = Requests.find(effect.Request);
  if (found == Requests.end()) {
    return;
  }
  const CallerRequest &request = found->second;
  Events.write(CallerEvent::RequestEnded, {{"request", request.Id},
                                           {"outcome", nameOf(effect.Outcome)},
                                           {"reason", nameOf(effect.Reason)},
                                           {"attempts", effect.Attempts}});
  Metrics.ended(request.Class, effect.Outcome, effect.Attempts,
                Time.now() - request.ArrivedAt);
  request.Exchange->respond(replyToCaller(effect, request.Id));
}

void RequestService::apply(DiscardRequest &effect) {
  Requests.erase(effect.Request);
}

void RequestService::apply(PeerMessage &effect) {
  const auto &entries = RequestDispatcher.config().entries();
  const auto found = entries.find(effect.To);
  if (found == entries.end()) {
    return;
  }
  protocol::Envelope envelope;
  *envelope.mutable_request_peer() = std::move(effect.Message);
  Outbox.send(found->second.address(), std::move(envelope));
}

void RequestService::submitClaims() {
  const auto batch = Claims.due(Time.now());
  if (!batch) {
    return;
  }
  protocol::Command command;
  *command.mutable_claim_batch() = *batch;
  Cell.submit(std::move(command), [this, number = batch->number()](
                                      peers::CellCallOutcome kind,
                                      const protocol::CommandResult &result) {
    claimsAnswered(number,
                   kind == peers::CellCallOutcome::Answered &&
                       result.code() == protocol::ACCEPTED,
                   result);
  });
}

void RequestService::claimsAnswered(std::uint64_t number, bool answered,
                                    const protocol::CommandResult &result) {
  if (!answered) {
    Claims.deliveryFailed(number);
    return;
  }
  if (!Claims.acknowledged(number)) {
    return;
  }
  for (const protocol::ClaimResult &it : result.claims()) {
    RequestDispatcher.claimAnswered(it, Time.now());
  }
  applyEffects();
}

} // namespace masticwinch::callers
