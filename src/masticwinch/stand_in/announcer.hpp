#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace masticwinch {

class EventLog;

/// What an announcer says and to whom.
struct AnnouncerOptions {
  /// Addresses of entry VMs, such as `http://127.0.0.1:8080`, taken in turn.
  std::vector<std::string> Entries;
  /// Path without the last word, such as `/v1/upstreams/runner-1`.
  std::string Path;
  /// The announcement without its incarnation.
  nlohmann::json Body;
  /// Time between renewals.
  Milliseconds Renew{1000};
};

/// Announces an upstream or a worker through the entry VMs, renews the
/// announcement, and takes it back. Runs on one event loop.
class Announcer {
public:
  Announcer(asio::io_context &loop, AnnouncerOptions options,
            const Clock &clock, EventLog &events);

  /// Starts to announce.
  void start();

  /// Announces again at once, with the number that tells the leader that tasks
  /// have ended.
  void announceNews();

  /// Stops renewing and states the leave at one entry VM after the other until
  /// one answers 200; then calls `done`.
  void leave(std::function<void()> done);

  /// Stops renewing without a leave.
  void stop();

  /// Whether the latest announcement was accepted and is not taken back; true
  /// if there is no entry VM to announce to.
  bool isKnown() const {
    return (Known || Options.Entries.empty()) && !Leaving;
  }
  bool isLeaving() const { return Leaving; }
  std::uint64_t incarnation() const { return Incarnation; }

private:
  void announce();
  void announced(const HttpCallResult &result, std::uint64_t sentNews);
  void announceFailed(const HttpCallResult &result);
  void sendLeave();
  void leaveAnswered(const HttpCallResult &result);
  void post(std::string_view word, const nlohmann::json &body,
            HttpCallDone done);
  void after(Milliseconds delay, void (Announcer::*next)());

  const AnnouncerOptions Options;
  const Clock &Time;
  EventLog &Events;
  HttpClient Client;
  asio::steady_timer Timer;
  std::uint64_t Incarnation;
  std::size_t NextEntry = 0;
  HttpCallId Call = 0;
  bool Leaving = false;
  bool Known = false;
  std::uint64_t News = 0;
  bool CallUnderWay = false;
  /// A failure was reported since the last success.
  bool FailureReported = false;
  std::function<void()> LeaveDone;
};

} // namespace masticwinch
