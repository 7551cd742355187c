#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <string>

namespace masticwinch::internal {

/// A TCP socket that can send a last answer when it is shut down. It then reads
/// and drops what still arrives, for a bounded time, since closing a socket
/// with unread bytes resets the connection and may destroy the answer on its
/// way. The shutdown and close functions stand in for those of Asio's socket,
/// and have their signatures.
class RefusingSocket : public asio::ip::tcp::socket {
public:
  explicit RefusingSocket(asio::io_context &loop)
      : asio::ip::tcp::socket(loop) {}

  /// Sets the answer that the next shutdown on this thread sends.
  static void answerNextShutdown(std::string text);

  void shutdown(shutdown_type what, asio::error_code &ec);
  void close();

private:
  bool Lingers = false;
};

} // namespace masticwinch::internal
