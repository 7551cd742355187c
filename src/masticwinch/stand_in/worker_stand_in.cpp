#include "masticwinch/stand_in/worker_stand_in.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/stand_in/stand_in_event.hpp"
#include "masticwinch/stand_in/stand_in_options.hpp"

#include <asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>

namespace masticwinch {

namespace {

AnnouncerOptions announcerOptions(const WorkerSettings &settings) {
  return standInAnnouncerOptions(
      settings.Common, "workers",
      {{"milli_processors", settings.Capacity.MilliProcessors},
       {"memory_mib", settings.Capacity.MemoryMib},
       {"accelerators", settings.Capacity.Accelerators}});
}

} // namespace

WorkerStandIn::WorkerStandIn(asio::io_context &loop, WorkerSettings settings,
                             const Clock &clock, EventLog &events)
    : Loop(loop), Settings(std::move(settings)), Time(clock), Events(events),
      TaskLines(Settings.Common.RecordFile),
      Announcements(loop, announcerOptions(Settings), clock, events),
      Tasks(Settings.Capacity, Settings.Behavior,
            static_cast<std::int64_t>(Announcements.incarnation())),
      Timer(loop),
      Server(standInServerOptions(Settings.Common.Listen),
             [this](auto exchange) {
               asio::post(Loop, [this, exchange] { receive(*exchange); });
             }),
      Operators(standInServerOptions(Settings.Common.Operators),
                [this](auto exchange) {
                  asio::post(Loop, [this, exchange] {
                    handleOperatorRequest(*exchange);
                  });
                }) {}

void WorkerStandIn::start() {
  Server.start();
  Operators.start();
  Events.write(StandInEvent::Started, {{"port", Server.port()}});
  Announcements.start();
}

void WorkerStandIn::stop(const std::function<void()> &done) {
  Announcements.stop();
  Tasks.advance(Time.now());
  Tasks.stopAll("shutdown");
  writeRecords();
  Events.write(StandInEvent::Stopped);
  done();
}

void WorkerStandIn::receive(HttpExchange &exchange) {
  const HttpRequest &request = exchange.request();
  if (request.Path != "/v1/lease") {
    exchange.respond(errorResponse(404, "not_found", "no such page"));
  } else if (request.Method != "PUT") {
    exchange.respond(errorResponse(405, "method_not_allowed", "use PUT"));
  } else {
    exchange.respond(renewLease(request));
  }
}

HttpResponse WorkerStandIn::renewLease(const HttpRequest &request) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(lease, parseLeaseRequest(request.Body));
        return applyLease(lease);
      },
      [](const SettingsError &error) {
        const SettingsProblem &first = error.Problems.front();
        return errorResponse(400, "invalid_lease", first.Reason, first.KeyPath);
      },
      [] { return errorResponse(400, "invalid_lease", "can't be read"); });
}

HttpResponse WorkerStandIn::applyLease(const LeaseRequest &lease) {
  const std::optional<LeaseRefusal> refusal = Tasks.apply(lease, Time.now());
  writeRecords();
  schedule();
  if (refusal) {
    Events.write(StandInEvent::LeaseRefused, {{"code", refusal->Code},
                                              {"epoch", lease.Epoch},
                                              {"sequence", lease.Sequence}});
    return jsonResponse(409, leaseRefusalJson(*refusal));
  }
  return jsonResponse(200, leaseReportJson(Tasks.report(Time.now())));
}

void WorkerStandIn::handleOperatorRequest(HttpExchange &exchange) {
  const HttpRequest &request = exchange.request();
  if (request.Path == "/health") {
    exchange.respond({});
  } else if (request.Path == "/stand-in/stats" && request.Method == "GET") {
    exchange.respond(stats());
  } else {
    exchange.respond(errorResponse(404, "not_found", "no such page"));
  }
}

HttpResponse WorkerStandIn::stats() const {
  const VmResources inUse = Tasks.inUse();
  nlohmann::ordered_json body =
      nlohmann::ordered_json::parse(leaseReportJson(Tasks.report(Time.now())));
  body["name"] = Settings.Common.Name;
  body["milli_processors_in_use"] = inUse.MilliProcessors;
  body["memory_mib_in_use"] = inUse.MemoryMib;
  body["accelerators_in_use"] = inUse.Accelerators;
  return jsonResponse(200, body.dump() + "\n");
}

void WorkerStandIn::advance() {
  Tasks.advance(Time.now());
  writeRecords();
  schedule();
}

void WorkerStandIn::schedule() {
  const std::optional<SteadyTime> next = Tasks.nextEvent();
  if (!next) {
    Timer.cancel();
    return;
  }
  Timer.expires_after(*next - Time.now());
  Timer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      advance();
    }
  });
}

void WorkerStandIn::writeRecords() {
  bool ended = false;
  for (const TaskRecord &it : Tasks.takeRecords()) {
    ended = ended || it.Event != "start";
    if (it.Reason == "lease_expired") {
      Events.write(StandInEvent::LeaseExpired,
                   {{"task", it.Id.Task}, {"attempt", it.Id.Attempt}});
    }
    TaskLines.append({{"time", unixTimeText(Time.systemNow())},
                      {"task", it.Id.Task},
                      {"attempt", it.Id.Attempt},
                      {"event", it.Event},
                      {"reason", it.Reason},
                      {"milli_processors", it.InUse.MilliProcessors},
                      {"memory_mib", it.InUse.MemoryMib},
                      {"accelerators", it.InUse.Accelerators}});
  }
  if (ended) {
    Announcements.announceUpdate();
  }
}

} // namespace masticwinch
