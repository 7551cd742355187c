#include "masticwinch/stand_in/announcer.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/stand_in/stand_in_event.hpp"

#include <asio/io_context.hpp>

namespace masticwinch {

namespace {

/// Delay before the next entry VM is tried after a failure.
constexpr Milliseconds RetryDelay{200};
constexpr Milliseconds CallTimeout{2000};
/// Minimum interval between two announcements of updates.
constexpr Milliseconds MinUpdateInterval{20};

bool isOk(const HttpCallResult &result) {
  return result.Outcome == HttpOutcome::Answered &&
         result.Response.Status == 200;
}

/// Whether the cell has recorded a later incarnation or the leave of this one.
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

void Announcer::post(std::string_view action, const nlohmann::json &body,
                     HttpCallDone done) {
  HttpCall call;
  call.Method = "POST";
  call.Url = Options.Entries[NextEntry++ % Options.Entries.size()] +
             Options.Path + "/" + std::string(action);
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
  if (UpdateNumber > 0) {
    body["news"] = UpdateNumber;
  }
  CallInProgress = true;
  post("announce", body,
       [this, sent = UpdateNumber](const HttpCallResult &result) {
         CallInProgress = false;
         handleAnnounceResult(result, sent);
       });
}

void Announcer::announceUpdate() {
  ++UpdateNumber;
  if (!CallInProgress && Accepted) {
    announce();
  }
}

void Announcer::handleAnnounceResult(const HttpCallResult &result,
                                     std::uint64_t sentUpdate) {
  if (Leaving) {
    return;
  }
  if (isOk(result)) {
    if (!Accepted) {
      Events.write(StandInEvent::Announced, {{"incarnation", Incarnation}});
    }
    Accepted = true;
    FailureReported = false;
    after(sentUpdate == UpdateNumber ? Options.Renew : MinUpdateInterval,
          &Announcer::announce);
    return;
  }
  handleAnnounceFailure(result);
  after(RetryDelay, &Announcer::announce);
}

void Announcer::handleAnnounceFailure(const HttpCallResult &result) {
  if (isSuperseded(result)) {
    Accepted = false;
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
       [this](const HttpCallResult &result) { handleLeaveResult(result); });
}

void Announcer::handleLeaveResult(const HttpCallResult &result) {
  // A superseded incarnation is no longer registered, so the leave is complete.
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
