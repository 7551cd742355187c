#include "masticwinch/callers/request_forwarder.hpp"

#include "masticwinch/callers/caller_event.hpp"
#include "masticwinch/coordination/cell/configuration.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/operators/request_id.hpp"
#include "masticwinch/peers/entry_session.hpp"

#include <algorithm>

namespace masticwinch::callers {

namespace {

constexpr Milliseconds DefaultDeadline{10'000};
constexpr std::string_view RetryAfterSeconds = "1";

/// Headers that belong to one connection and are not passed on.
bool isHopByHop(std::string_view name) {
  constexpr std::string_view Names[] = {
      "connection",     "keep-alive", "proxy-connection", "transfer-encoding",
      "upgrade",        "te",         "trailer",          "host",
      "content-length", "expect"};
  return std::any_of(
      std::begin(Names), std::end(Names), [&](std::string_view it) {
        return std::equal(it.begin(), it.end(), name.begin(), name.end(),
                          [](char a, char b) { return a == (b | 0x20); });
      });
}

HttpHeaders passedHeaders(const HttpHeaders &headers) {
  HttpHeaders passed;
  for (const HttpHeader &it : headers.lines()) {
    if (!isHopByHop(it.Name)) {
      passed.add(it.Name, it.Value);
    }
  }
  return passed;
}

} // namespace

struct RequestForwarder::Request {
  std::shared_ptr<HttpExchange> Exchange;
  std::string Id;
  std::string Service;
  std::string Path;
  std::string Profile;
  SteadyTime Deadline{};
};

void RequestForwarder::refuse(const std::shared_ptr<Request> &request,
                              std::uint16_t status, std::string_view code,
                              std::string_view message,
                              std::string_view field) {
  HttpResponse response = errorResponse(status, code, message, field);
  stateFacts(response, {Outcome::NotRun, 0, request->Id});
  if (status == 503) {
    response.Headers.add("Retry-After", std::string(RetryAfterSeconds));
  }
  Events.write(CallerEvent::RequestRefused,
               {{"request", request->Id}, {"reason", code}});
  request->Exchange->respond(std::move(response));
}

void RequestForwarder::forward(const std::shared_ptr<HttpExchange> &exchange,
                               const RouteMatch &match) {
  const HttpHeaders &headers = exchange->request().Headers;
  auto request = std::make_shared<Request>();
  request->Exchange = exchange;
  request->Id =
      std::string(headers.find(RequestIdHeader).value_or(std::string_view()));
  if (request->Id.empty()) {
    request->Id = operators::randomRequestId();
  }
  request->Service = match[0];
  request->Path = match[1];
  request->Profile =
      std::string(headers.find(ProfileHeader).value_or(std::string_view()));
  if (Draining || !Session.mayServe()) {
    refuse(request, 503, "not_serving", "this entry VM takes no new work");
    return;
  }
  if (headers.find(IdempotencyKeyHeader)) {
    refuse(request, 501, "not_supported",
           "idempotency keys are not supported yet", IdempotencyKeyHeader);
    return;
  }
  const protocol::ConfigItem *profile = Session.configuration().findPresent(
      {cell::ConfigKind::Profile, request->Profile});
  if (profile == nullptr || profile->profile().retired()) {
    refuse(request, profile == nullptr ? 404 : 410,
           profile == nullptr ? "unknown_profile" : "retired_profile",
           "no such profile takes new work", ProfileHeader);
    return;
  }
  const std::uint32_t deadline =
      profile->profile().spec().requests().deadline_ms();
  request->Deadline =
      Time.now() + (deadline == 0 ? DefaultDeadline : Milliseconds(deadline));
  if (Queue.size() >= MaxQueued) {
    refuse(request, 503, "queue_full", "too many requests wait");
    return;
  }
  Events.write(CallerEvent::RequestTaken, {{"request", request->Id},
                                           {"profile", request->Profile},
                                           {"version", profile->revision()},
                                           {"service", request->Service}});
  ++Pending;
  Queue.push_back(std::move(request));
  dispatchQueued();
}

std::uint32_t
RequestForwarder::slotShare(const protocol::Upstream &upstream) const {
  const auto entries =
      Session.configuration().present(cell::ConfigKind::Entry).size();
  return upstream.slots() /
         static_cast<std::uint32_t>(std::max<std::size_t>(1, entries));
}

const protocol::Upstream *
RequestForwarder::chooseUpstream(const std::string &service) const {
  const protocol::Upstream *best = nullptr;
  std::uint32_t bestFree = 0;
  for (const protocol::ConfigItem *it :
       Session.configuration().present(cell::ConfigKind::Upstream)) {
    const protocol::Upstream &upstream = it->upstream();
    const auto used = SlotsInUse.find(upstream.name());
    const std::uint32_t inUse = used == SlotsInUse.end() ? 0 : used->second;
    const std::uint32_t share = slotShare(upstream);
    if (upstream.service() == service && share > inUse &&
        share - inUse > bestFree) {
      best = &upstream;
      bestFree = share - inUse;
    }
  }
  return best;
}

void RequestForwarder::refuseExpired() {
  const auto expired = [this](const std::shared_ptr<Request> &it) {
    return it->Deadline <= Time.now();
  };
  const auto first =
      std::stable_partition(Queue.begin(), Queue.end(), std::not_fn(expired));
  std::deque<std::shared_ptr<Request>> refused(first, Queue.end());
  Queue.erase(first, Queue.end());
  for (const std::shared_ptr<Request> &it : refused) {
    --Pending;
    refuse(it, 503, "deadline", "no upstream was free in time");
  }
}

void RequestForwarder::dispatchQueued() {
  refuseExpired();
  std::deque<std::shared_ptr<Request>> waiting;
  waiting.swap(Queue);
  for (const std::shared_ptr<Request> &it : waiting) {
    if (Session.mayServe() && chooseUpstream(it->Service) != nullptr) {
      dispatch(it);
    } else {
      Queue.push_back(it);
    }
  }
}

void RequestForwarder::dispatch(const std::shared_ptr<Request> &request) {
  const protocol::Upstream upstream = *chooseUpstream(request->Service);
  ++SlotsInUse[upstream.name()];
  const HttpRequest &original = request->Exchange->request();
  HttpCall call;
  call.Method = original.Method;
  call.Url = "http://" + upstream.address() + request->Path +
             (original.Query.empty() ? "" : "?" + original.Query);
  call.Headers = passedHeaders(original.Headers);
  if (!call.Headers.find(RequestIdHeader)) {
    call.Headers.add(RequestIdHeader, request->Id);
  }
  call.Body = original.Body;
  call.Timeout =
      std::chrono::duration_cast<Milliseconds>(request->Deadline - Time.now());
  call.FreshConnection = true;
  Events.write(CallerEvent::RequestDispatched, {{"request", request->Id},
                                                {"attempt", 1},
                                                {"upstream", upstream.name()}});
  Client.start(std::move(call),
               [this, request, name = upstream.name()](HttpCallResult result) {
                 finish(request, name, std::move(result));
               });
}

void RequestForwarder::finish(const std::shared_ptr<Request> &request,
                              const std::string &upstream,
                              HttpCallResult result) {
  --SlotsInUse[upstream];
  --Pending;
  ReplyFacts facts{Outcome::Unknown, 1, request->Id};
  HttpResponse response;
  if (result.Outcome == HttpOutcome::Answered) {
    facts.Result = Outcome::Answered;
    response.Status = result.Response.Status;
    response.Headers = passedHeaders(result.Response.Headers);
    response.Body = std::move(result.Response.Body);
  } else if (result.Outcome == HttpOutcome::NotSent) {
    facts.Result = Outcome::NotRun;
    response = errorResponse(503, "upstream_unreachable",
                             "the upstream could not be reached");
    response.Headers.add("Retry-After", std::string(RetryAfterSeconds));
  } else {
    response = errorResponse(502, "unknown",
                             "the upstream's answer was lost; the request may "
                             "have run");
  }
  stateFacts(response, facts);
  Events.write(CallerEvent::RequestEnded, {{"request", request->Id},
                                           {"upstream", upstream},
                                           {"outcome", nameOf(facts.Result)},
                                           {"call", nameOf(result.Outcome)},
                                           {"detail", result.Detail}});
  request->Exchange->respond(std::move(response));
  dispatchQueued();
}

} // namespace masticwinch::callers
