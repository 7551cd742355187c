#include "masticwinch/stand_in/runner_stand_in.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/stand_in/stand_in_event.hpp"
#include "masticwinch/stand_in/stand_in_options.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>

namespace masticwinch {

namespace {

constexpr std::string_view RequestIdHeader = "Masticwinch-Request-Id";
constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
constexpr const char *NotRunHeader = "Masticwinch-Not-Run";
constexpr Milliseconds IdleCheckInterval{50};

AnnouncerOptions announcerOptions(const RunnerSettings &settings) {
  return standInAnnouncerOptions(settings.Common, "upstreams",
                                 {{"service", settings.Service},
                                  {"slots", settings.Slots},
                                  {"connections", settings.Connections}});
}

std::string_view headerOrEmpty(const HttpRequest &request,
                               std::string_view name) {
  return request.Headers.find(name).value_or("");
}

/// Value of the `status` field in the executions file.
std::string plannedStatus(const Behavior &behavior) {
  if (behavior.Hang) {
    return "hang";
  }
  return behavior.Truncate ? "truncated" : std::to_string(behavior.Status);
}

} // namespace

RunnerStandIn::RunnerStandIn(asio::io_context &loop, RunnerSettings settings,
                             const Clock &clock, EventLog &events)
    : Loop(loop), Settings(std::move(settings)), Time(clock), Events(events),
      Executions(Settings.Common.RecordFile),
      Announcements(loop, announcerOptions(Settings), clock, events),
      IdleTimer(loop),
      Server(standInServerOptions(Settings.Common.Listen),
             [this](auto exchange) { receive(std::move(exchange)); }),
      Operators(standInServerOptions(Settings.Common.Operators),
                [this](auto exchange) {
                  asio::post(Loop, [this, exchange] {
                    handleOperatorRequest(*exchange);
                  });
                }) {}

void RunnerStandIn::start() {
  Server.start();
  Operators.start();
  Events.write(StandInEvent::Started,
               {{"port", Server.port()}, {"service", Settings.Service}});
  Announcements.start();
}

void RunnerStandIn::stop(std::function<void()> done) {
  StopDone = std::move(done);
  if (Announcements.isLeaving()) {
    exitWhenIdle();
    return;
  }
  Announcements.leave([this] { exitWhenIdle(); });
}

void RunnerStandIn::exitWhenIdle() {
  if (!StopDone) {
    return;
  }
  const bool lingerElapsed = Time.now() - LastRequest >= Settings.Linger;
  if (Executing.empty() && lingerElapsed) {
    Events.write(StandInEvent::Stopped, {{"executions", Stats.Executions}});
    StopDone();
    return;
  }
  IdleTimer.expires_after(IdleCheckInterval);
  IdleTimer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      exitWhenIdle();
    }
  });
}

void RunnerStandIn::receive(std::shared_ptr<HttpExchange> exchange) {
  asio::post(Loop, [this, exchange = std::move(exchange)]() mutable {
    execute(std::move(exchange));
  });
}

void RunnerStandIn::execute(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest &request = exchange->request();
  if (request.Path == "/health") {
    exchange->respond({});
    return;
  }
  LastRequest = Time.now();
  const std::optional<Behavior> behavior =
      applyBehavior(Settings.Default, headerOrEmpty(request, BehaviorHeader));
  if (!behavior) {
    exchange->respond(errorResponse(400, "unknown_behavior",
                                    "the header has an unknown behavior",
                                    BehaviorHeader));
    return;
  }
  if (behavior->Refuse || behavior->Busy) {
    refuse(*exchange, *behavior);
    return;
  }
  record(request, *behavior);
  const std::uint64_t id = ++LastId;
  auto timer = std::make_shared<asio::steady_timer>(Loop, behavior->Delay);
  Executing.emplace(id, Execution{exchange, *behavior, timer});
  Stats.MostExecuting = std::max(Stats.MostExecuting, Executing.size());
  exchange->onCallerGone(
      [this, id] { asio::post(Loop, [this, id] { abandon(id); }); });
  if (behavior->Hang) {
    return;
  }
  timer->async_wait([this, id, timer](const std::error_code &ec) {
    if (!ec) {
      finish(id);
    }
  });
}

void RunnerStandIn::refuse(HttpExchange &exchange, const Behavior &behavior) {
  ++Stats.Refused;
  HttpResponse response =
      behavior.Busy ? errorResponse(429, "busy",
                                    "no slot is free; the request wasn't run")
                    : errorResponse(503, "refused", "the request wasn't run");
  response.Headers.add(NotRunHeader, "true");
  if (behavior.Busy) {
    response.Headers.add("Retry-After", "1");
  }
  exchange.respond(std::move(response));
}

void RunnerStandIn::record(const HttpRequest &request,
                           const Behavior &behavior) {
  ++Stats.Executions;
  Executions.append(
      {{"time", unixTimeText(Time.systemNow())},
       {"request_id", headerOrEmpty(request, RequestIdHeader)},
       {"idempotency_key", headerOrEmpty(request, IdempotencyKeyHeader)},
       {"status", plannedStatus(behavior)}});
}

void RunnerStandIn::finish(std::uint64_t id) {
  const auto it = Executing.find(id);
  if (it == Executing.end()) {
    return;
  }
  const Execution execution = std::move(it->second);
  Executing.erase(it);
  execution.Exchange->respondWithFault(
      answer(execution), {.Truncate = execution.EffectiveBehavior.Truncate});
}

void RunnerStandIn::abandon(std::uint64_t id) {
  const auto it = Executing.find(id);
  if (it != Executing.end()) {
    ++Stats.Abandoned;
    it->second.Timer->cancel();
    Executing.erase(it);
  }
}

HttpResponse RunnerStandIn::answer(const Execution &execution) const {
  const HttpRequest &request = execution.Exchange->request();
  const std::string_view requestId = headerOrEmpty(request, RequestIdHeader);
  HttpResponse response;
  response.Status = execution.EffectiveBehavior.Status;
  response.Headers = {{"Content-Type", "text/plain"},
                      {"Stand-In-Runner", Settings.Common.Name}};
  response.Body = fmt::format("runner={} request_id={}\n{}",
                              Settings.Common.Name, requestId, request.Body);
  if (response.Body.size() < execution.EffectiveBehavior.AnswerBytes) {
    response.Body.resize(execution.EffectiveBehavior.AnswerBytes, '.');
  }
  return response;
}

void RunnerStandIn::handleOperatorRequest(HttpExchange &exchange) {
  const HttpRequest &request = exchange.request();
  if (request.Path == "/health") {
    exchange.respond(Announcements.isAnnounced()
                         ? HttpResponse{}
                         : errorResponse(503, "not_announced",
                                         "no entry VM knows this upstream"));
  } else if (request.Path == "/stand-in/stats" && request.Method == "GET") {
    exchange.respond(stats());
  } else if (request.Path == "/stand-in/leave" && request.Method == "POST") {
    if (!Announcements.isLeaving()) {
      Announcements.leave([this] { exitWhenIdle(); });
    }
    exchange.respond({202, {}, ""});
  } else {
    exchange.respond(errorResponse(404, "not_found", "no such page"));
  }
}

HttpResponse RunnerStandIn::stats() const {
  const nlohmann::ordered_json body = {
      {"name", Settings.Common.Name},
      {"incarnation", Announcements.incarnation()},
      {"leaving", Announcements.isLeaving()},
      {"executions", Stats.Executions},
      {"refused", Stats.Refused},
      {"abandoned", Stats.Abandoned},
      {"executing", Executing.size()},
      {"most_executing", Stats.MostExecuting},
      {"connections", Server.connections().Open},
      {"most_connections", Server.connections().Peak}};
  return jsonResponse(200, body.dump() + "\n");
}

} // namespace masticwinch
