#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

namespace masticwinch::workflow {

/// Closes the connections of a client that no call has used for a while, since
/// they count against the limits of the peers.
class IdleConnections {
public:
  IdleConnections(asio::io_context &context, HttpClient &client)
      : Client(client), Timer(context) {}

  void start() {
    Timer.expires_after(CheckInterval);
    Timer.async_wait([this](const std::error_code &ec) {
      if (!ec) {
        Client.closeIdleConnections(MaxIdleTime);
        start();
      }
    });
  }

  /// Closes all connections without a call.
  void closeAll() { Client.closeIdleConnections(Milliseconds(0)); }

private:
  static constexpr Milliseconds CheckInterval{2000};
  static constexpr Milliseconds MaxIdleTime{15'000};

  HttpClient &Client;
  asio::steady_timer Timer;
};

} // namespace masticwinch::workflow
