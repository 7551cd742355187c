#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace masticwinch::internal {

/// A TCP socket that can send a final response when it is shut down. It then
/// reads and discards incoming data for a bounded time (lingering close):
/// closing a socket with unread data resets the connection, and the peer may
/// lose the response. `shutdown` and `close` hide those of Asio's socket and
/// have the same signatures.
class RefusingSocket : public asio::ip::tcp::socket {
public:
  explicit RefusingSocket(asio::io_context &loop)
      : asio::ip::tcp::socket(loop) {}

  /// Sets the response that the next shutdown on this thread sends.
  static void respondAtNextShutdown(std::string text);

  void shutdown(shutdown_type what, asio::error_code &ec);
  void close();

private:
  bool Lingers = false;
};

} // namespace masticwinch::internal
