#pragma once

#include "masticwinch/http/internal/expectation_watch.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace masticwinch::internal {

/// A TCP socket that can send a final response when it is shut down. It then
/// reads and discards incoming data for a bounded time (lingering close):
/// closing a socket with unread data resets the connection, and the peer may
/// lose the response. To a client that waits for it before it sends the body of
/// its request, it sends `100 Continue`. The functions hide those of Asio's
/// socket and have the same signatures.
class RefusingSocket : public asio::ip::tcp::socket {
public:
  explicit RefusingSocket(asio::io_context &loop)
      : asio::ip::tcp::socket(loop) {}

  /// Sets the response that the next shutdown on this thread sends.
  static void respondAtNextShutdown(std::string text);

  void shutdown(shutdown_type what, asio::error_code &ec);
  void close();

  // The names are Asio's.
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Buffer, class Handler>
  void async_read_some(const Buffer &buffer, Handler handler) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    asio::ip::tcp::socket::async_read_some(
        buffer, asio::bind_executor(executor, [this, buffer,
                                               handler = std::move(handler)](
                                                  const asio::error_code &ec,
                                                  std::size_t bytes) mutable {
          if (!ec) {
            received(
                {static_cast<const char *>(asio::mutable_buffer(buffer).data()),
                 bytes});
          }
          handler(ec, bytes);
        }));
  }

  template <class Buffers, class Handler>
  void async_write_some(const Buffers &buffers, Handler handler) {
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Writes = true;
    asio::ip::tcp::socket::async_write_some(
        buffers,
        asio::bind_executor(executor, [this, handler = std::move(handler)](
                                          const asio::error_code &ec,
                                          std::size_t bytes) mutable {
          Writes = false;
          handler(ec, bytes);
        }));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  void received(std::string_view bytes);

  ExpectationWatch Expectation;
  /// Whether a part of a response is being written.
  bool Writes = false;
  bool Lingers = false;
};

} // namespace masticwinch::internal
