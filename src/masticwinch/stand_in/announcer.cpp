#include "masticwinch/stand_in/announcer.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/stand_in/stand_in_event.hpp"

#include <asio/io_context.hpp>

namespace masticwinch {

namespace {

/// Wait before the next entry VM is tried after a failure.
constexpr Milliseconds RetryDelay{200};
constexpr Milliseconds CallTimeout{2000};
/// Least time between two announcements of news.
constexpr Milliseconds NewsDelay{20};

bool isOk(const HttpCallResult &result) {
  return result.Outcome == HttpOutcome::Answered &&
         result.Response.Status == 200;
}

/// The cell knows a later incarnation, or that this one left.
bool isSuperseded(const HttpCallResult &result) {
  return result.Outcome == HttpOutcome::Answered &&
         result.Response.Status == 409;
}

} // namespace

Announcer::Announcer(asio::io_context &loop, AnnouncerOptions options,
                     const Clock &clock, EventLog &events)
    : Options(std::move(options)), Time(clock), Events(events), Client(loop),
      Timer(loop), Incarnation(programs::newIncarnation(clock)) {}

void Announcer::start() {
  if (!Options.Entries.empty()) {
    announce();
  }
}

void Announcer::stop() {
  Timer.cancel();
  Client.cancel(Call);
  Leaving = true;
}

void Announcer::leave(std::function<void()> done) {
  stop();
  Events.write(StandInEvent::LeaveStarted);
  LeaveDone = std::move(done);
  if (Options.Entries.empty()) {
    LeaveDone();
    return;
  }
  sendLeave();
}

void Announcer::post(std::string_view word, const nlohmann::json &body,
                     HttpCallDone done) {
  HttpCall call;
  call.Method = "POST";
  call.Url = Options.Entries[NextEntry++ % Options.Entries.size()] +
             Options.Path + "/" + std::string(word);
  call.Headers.add("Content-Type", "application/json");
  call.Body = body.dump();
  call.Timeout = CallTimeout;
  Call = Client.start(std::move(call), std::move(done));
}

void Announcer::after(Milliseconds delay, void (Announcer::*next)()) {
  Timer.expires_after(delay);
  Timer.async_wait([this, next](const std::error_code &ec) {
    if (!ec) {
      (this->*next)();
    }
  });
}

void Announcer::announce() {
  if (Leaving) {
    return;
  }
  nlohmann::json body = Options.Body;
  body["incarnation"] = Incarnation;
  if (News > 0) {
    body["news"] = News;
  }
  CallUnderWay = true;
  post("announce", body, [this, sent = News](const HttpCallResult &result) {
    CallUnderWay = false;
    announced(result, sent);
  });
}

void Announcer::announceNews() {
  ++News;
  if (!CallUnderWay && Known) {
    announce();
  }
}

void Announcer::announced(const HttpCallResult &result,
                          std::uint64_t sentNews) {
  if (Leaving) {
    return;
  }
  if (isOk(result)) {
    if (!Known) {
      Events.write(StandInEvent::Announced, {{"incarnation", Incarnation}});
    }
    Known = true;
    FailureReported = false;
    after(sentNews == News ? Options.Renew : NewsDelay, &Announcer::announce);
    return;
  }
  announceFailed(result);
  after(RetryDelay, &Announcer::announce);
}

void Announcer::announceFailed(const HttpCallResult &result) {
  if (isSuperseded(result)) {
    Known = false;
    Incarnation = std::max(Incarnation + 1, programs::newIncarnation(Time));
    Events.write(StandInEvent::Superseded, {{"incarnation", Incarnation}});
  } else if (!FailureReported) {
    FailureReported = true;
    Events.write(StandInEvent::AnnounceFailed,
                 {{"outcome", nameOf(result.Outcome)},
                  {"status", result.Response.Status}});
  }
}

void Announcer::sendLeave() {
  post("leave", {{"incarnation", Incarnation}},
       [this](const HttpCallResult &result) { leaveAnswered(result); });
}

void Announcer::leaveAnswered(const HttpCallResult &result) {
  // A superseded incarnation is not in use any more.
  if (isOk(result) || isSuperseded(result)) {
    Events.write(StandInEvent::Left, {{"incarnation", Incarnation}});
    LeaveDone();
    return;
  }
  Events.write(StandInEvent::LeaveFailed, {{"outcome", nameOf(result.Outcome)},
                                           {"status", result.Response.Status}});
  after(RetryDelay, &Announcer::sendLeave);
}

} // namespace masticwinch
