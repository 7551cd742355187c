#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Logs once a second which servers closed connections since their requests and
/// responses held too many bytes.
class HeldBytesReport {
public:
  HeldBytesReport(asio::io_context &context, EventLog &events)
      : Events(events), Timer(context) {}

  /// Adds a server, which has to outlive the report.
  void add(std::string port, const HttpServer &server) {
    Servers.push_back({std::move(port), &server, 0});
  }

  void start() {
    Timer.expires_after(Interval);
    Timer.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        report();
        start();
      }
    });
  }

  /// Logs what has changed since the last call.
  void report() {
    for (Entry &it : Servers) {
      const HttpConnectionCounts counts = it.Server->connections();
      if (counts.ClosedForMemory != it.Closed) {
        Events.writeNamed("connections_closed_for_memory",
                          {{"port", it.Port},
                           {"closed", counts.ClosedForMemory - it.Closed},
                           {"request_bytes", counts.RequestBytes},
                           {"response_bytes", counts.ResponseBytes},
                           {"limit_bytes", counts.MaxHeldBytes},
                           {"open", counts.Open}});
        it.Closed = counts.ClosedForMemory;
      }
    }
  }

private:
  struct Entry {
    std::string Port;
    const HttpServer *Server;
    std::uint64_t Closed;
  };

  static constexpr Milliseconds Interval{1000};

  EventLog &Events;
  asio::steady_timer Timer;
  std::vector<Entry> Servers;
};

} // namespace masticwinch::workflow
