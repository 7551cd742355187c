#include "masticwinch/callers/request_service.hpp"

#include "masticwinch/callers/caller_event.hpp"
#include "masticwinch/callers/caller_reply.hpp"
#include "masticwinch/callers/caller_request.hpp"
#include "masticwinch/callers/outcome.hpp"
#include "masticwinch/callers/passed_headers.hpp"
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

/// Longest time between two ticks of the dispatcher.
constexpr Milliseconds TickInterval{20};

/// The cell client sends a batch again by itself before this.
constexpr Milliseconds ClaimResend{6000};

DispatchResult resultOf(const HttpCallResult &result) {
  switch (result.Outcome) {
  case HttpOutcome::Answered:
    return result.Response.Headers.find(NotRunHeader) == "true"
               ? DispatchResult::RefusedNotRun
               : DispatchResult::Answered;
  case HttpOutcome::NotSent:
    return DispatchResult::NotSent;
  case HttpOutcome::TimedOut:
    return result.RequestLeft ? DispatchResult::TimedOut
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
  const HttpHeaders passed = headersToCaller(response.Headers);
  for (const HttpHeader &it : passed.lines()) {
    if (passed.find("Content-Type") == it.Value && answer.ContentType.empty()) {
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
      Machine(options), Claims(options.Self, ClaimResend) {}

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
  Machine.configure(items, Time.now());
  carryOut();
}

void RequestService::leaseExtended() {
  Machine.serveUntil(Session.servingUntil(), Time.now());
  carryOut();
}

void RequestService::scheduleTick() {
  const SteadyTime now = Time.now();
  const SteadyTime due = std::min(
      now + TickInterval, Machine.nextWake().value_or(now + TickInterval));
  Timer.expires_at(due);
  Timer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      Machine.tick(Time.now());
      carryOut();
      scheduleTick();
    }
  });
}

void RequestService::handle(const std::shared_ptr<HttpExchange> &exchange,
                            const RouteMatch &match) {
  const HttpRequest &request = exchange->request();
  Arriving.Exchange = exchange;
  Arriving.Path = match[1];
  Arriving.Id = std::string(
      request.Headers.find(RequestIdHeader).value_or(std::string_view()));
  if (Arriving.Id.empty()) {
    Arriving.Id = operators::randomRequestId();
  }
  RequestArrival arrival;
  if (const auto error = readCallerRequest(request, match[0], arrival)) {
    HttpResponse response =
        errorResponse(400, "invalid", error->Message, error->Field);
    stateFacts(response, {RequestOutcome::NotRun, 0, Arriving.Id});
    exchange->respond(std::move(response));
    return;
  }
  Events.write(CallerEvent::RequestTaken, {{"request", Arriving.Id},
                                           {"profile", arrival.Profile},
                                           {"version", ConfiguredRevision},
                                           {"service", arrival.Service}});
  Arriving.Class = classOf(arrival.Profile);
  Arriving.ArrivedAt = Time.now();
  const RequestNumber number = Machine.arrived(std::move(arrival), Time.now());
  Requests.emplace(number, Arriving);
  exchange->onCallerGone([this, number] {
    asio::post(Timer.get_executor(), [this, number] {
      if (Requests.contains(number)) {
        Machine.callerGone(number, Time.now());
        carryOut();
      }
    });
  });
  carryOut();
}

MetricClass RequestService::classOf(const std::string &profile) const {
  const protocol::ConfigItem *item =
      Session.configuration().findPresent({cell::ConfigKind::Profile, profile});
  return metricClassOf(item == nullptr ? nullptr : &item->profile());
}

void RequestService::receive(const protocol::Envelope &envelope) {
  if (envelope.has_request_peer()) {
    Machine.peerSent({envelope.sender(), envelope.incarnation()},
                     envelope.request_peer(), Time.now());
    carryOut();
  }
}

void RequestService::drain() {
  Machine.drain();
  Session.announceLeaving();
}

bool RequestService::settled() const {
  return Machine.idle() && Claims.idle() && !Machine.slotOwner().handsOver() &&
         Session.isLeaving();
}

void RequestService::carryOut() {
  for (std::vector<RequestEffect> effects = Machine.takeEffects();
       !effects.empty(); effects = Machine.takeEffects()) {
    for (RequestEffect &it : effects) {
      std::visit([this](auto &effect) { perform(effect); }, it);
    }
  }
  submitClaims();
}

void RequestService::perform(ChangeClaim &effect) { Claims.add(effect); }

void RequestService::perform(StartDispatch &effect) {
  const DispatchNumber number = effect.Number;
  const auto found = Requests.find(effect.Request);
  if (found == Requests.end() || Time.now() >= effect.StartBefore) {
    Machine.dispatchEnded(number, DispatchResult::NotSent, nullptr, Time.now());
    return;
  }
  Events.write(CallerEvent::RequestDispatched, {{"request", found->second.Id},
                                                {"attempt", effect.Attempt},
                                                {"upstream", effect.Upstream}});
  if (!std::exchange(found->second.Dispatched, true)) {
    Metrics.dispatched(found->second.Class,
                       Time.now() - found->second.ArrivedAt);
  }
  Traffic.start(number, callOf(found->second, effect),
                [this, effect, id = found->second.Id](HttpCallResult result) {
                  noteAttempt(effect, id, result);
                  dispatchEnded(effect.Number, std::move(result));
                });
}

void RequestService::noteAttempt(const StartDispatch &effect,
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
  Machine.dispatchEnded(number, kind, std::move(answer), Time.now());
  carryOut();
}

void RequestService::perform(CancelDispatch &effect) {
  Traffic.cancel(effect.Number);
}

void RequestService::perform(ReplyToCaller &effect) {
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

void RequestService::perform(ForgetRequest &effect) {
  Requests.erase(effect.Request);
}

void RequestService::perform(PeerMessage &effect) {
  const auto &entries = Machine.config().entries();
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
    Claims.lost(number);
    return;
  }
  if (!Claims.answered(number)) {
    return;
  }
  for (const protocol::ClaimResult &it : result.claims()) {
    Machine.claimAnswered(it, Time.now());
  }
  carryOut();
}

} // namespace masticwinch::callers
