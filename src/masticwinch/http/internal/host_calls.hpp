#pragma once

#include "masticwinch/http/http_client.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace masticwinch::internal {

/// Bounds the calls that run at the same time to one host. Since each running
/// call uses one connection and idle connections are reused, the bound also
/// holds for the open connections. Calls beyond it wait in the order in which
/// they came, up to their `MaxQueueTime`. Runs on the thread of the event loop.
class HostCalls {
public:
  /// Starts a call for which there is room.
  using StartHandler =
      std::function<void(HttpCallId id, HttpCall call, HttpCallDone done)>;
  /// Ends a call that has waited for too long.
  using ExpiryHandler = std::function<void(HttpCallDone done)>;

  HostCalls(asio::io_context &context, StartHandler onStart,
            ExpiryHandler onExpiry);

  /// Starts a call, or lets it wait. Calls without `MaxCallsToHost` start at
  /// once and aren't counted.
  void add(HttpCallId id, HttpCall call, HttpCallDone done);

  /// Handles that a started call has ended, and starts those that waited for
  /// it.
  void ended(HttpCallId id);

  /// Removes a waiting call; returns its `done`, which is empty if the call
  /// doesn't wait.
  HttpCallDone remove(HttpCallId id);

  /// Number of waiting calls.
  std::size_t waiting() const { return WaitingHosts.size(); }

private:
  struct WaitingCall {
    HttpCallId Id = 0;
    HttpCall Call;
    HttpCallDone Done;
    std::unique_ptr<asio::steady_timer> Expiry;
  };
  struct Host {
    std::uint32_t Running = 0;
    std::deque<WaitingCall> Waiting;
  };

  void start(const std::string &host, HttpCallId id, HttpCall call,
             HttpCallDone done);
  void startWaiting(const std::string &host);
  void expireLater(WaitingCall &waiting);
  void expire(HttpCallId id);

  asio::io_context &Context;
  StartHandler OnStart;
  ExpiryHandler OnExpiry;
  std::map<std::string, Host> Hosts;
  /// Hosts of the calls that run and are counted.
  std::map<HttpCallId, std::string> RunningHosts;
  std::map<HttpCallId, std::string> WaitingHosts;
};

} // namespace masticwinch::internal
