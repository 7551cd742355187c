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

/// Destinations and content of the announcements.
struct AnnouncerOptions {
  /// Base URLs of entry VMs, such as `http://127.0.0.1:8080`, used round-robin.
  std::vector<std::string> Entries;
  /// Path without the final action, such as `/v1/upstreams/runner-1`.
  std::string Path;
  /// Body of the announcement; the announcer adds the incarnation.
  nlohmann::json Body;
  /// Renewal interval.
  Milliseconds Renew{1000};
};

/// Announces an upstream or a worker through the entry VMs, renews the
/// announcement periodically, and withdraws it. All callbacks run on one event
/// loop.
class Announcer {
public:
  Announcer(asio::io_context &loop, AnnouncerOptions options,
            const Clock &clock, EventLog &events);

  /// Sends the first announcement; does nothing if there are no entry VMs.
  void start();

  /// Announces again without waiting for the renewal. The announcement carries
  /// an incremented number that tells the leader that tasks have ended.
  void announceUpdate();

  /// Stops renewing and sends the leave to the entry VMs in turn until one
  /// answers 200 or reports that this incarnation is superseded; then calls
  /// `done`.
  void leave(std::function<void()> done);

  /// Stops renewing without sending a leave.
  void stop();

  /// Whether an announcement of this incarnation was accepted and has not been
  /// withdrawn. Without entry VMs, true until the announcer stops.
  bool isAnnounced() const {
    return (Accepted || Options.Entries.empty()) && !Leaving;
  }
  bool isLeaving() const { return Leaving; }
  std::uint64_t incarnation() const { return Incarnation; }

private:
  void announce();
  void handleAnnounceResult(const HttpCallResult &result,
                            std::uint64_t sentUpdate);
  void handleAnnounceFailure(const HttpCallResult &result);
  void sendLeave();
  void handleLeaveResult(const HttpCallResult &result);
  void post(std::string_view action, const nlohmann::json &body,
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
  bool Accepted = false;
  std::uint64_t UpdateNumber = 0;
  bool CallInProgress = false;
  /// Whether a failure was reported since the last success.
  bool FailureReported = false;
  std::function<void()> LeaveDone;
};

} // namespace masticwinch
