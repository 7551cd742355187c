#pragma once

#include "masticwinch/http/internal/admission.hpp"
#include "masticwinch/http/internal/expectation_watch.hpp"
#include "masticwinch/http/internal/request_progress.hpp"

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace masticwinch::internal {

/// A TCP socket that can send a final response when it is shut down. It then
/// reads and discards incoming data for a bounded time (lingering close):
/// closing a socket with unread data resets the connection, and the peer may
/// lose the response. To a client that waits for it before it sends the body of
/// its request, it sends `100 Continue`. It reports to `Admission` what
/// arrives, and makes RESTinio close the connection, by a failed read, if
/// `Admission` refuses or closes it. The end of the caller's bytes is held
/// while a request is in progress: RESTinio takes it for the end of the
/// connection, but the caller may only have ended its sending half. The
/// functions hide those of Asio's socket and have the same signatures.
class RefusingSocket : public asio::ip::tcp::socket {
public:
  explicit RefusingSocket(asio::io_context &loop)
      : asio::ip::tcp::socket(loop) {}
  /// A socket is moved only before its first read.
  RefusingSocket(RefusingSocket &&) = default;
  RefusingSocket &operator=(RefusingSocket &&) = default;
  RefusingSocket(const RefusingSocket &) = delete;
  RefusingSocket &operator=(const RefusingSocket &) = delete;
  ~RefusingSocket() { leave(); }

  /// Sets the response that the next shutdown on this thread sends.
  static void respondAtNextShutdown(std::string text);

  /// Sets the connection of the socket that reads next on this thread for the
  /// first time: RESTinio reports a connection without its socket, just before
  /// it starts reading. If the connection isn't admitted, it is refused.
  static void connectNextReader(std::shared_ptr<Admission> admission,
                                std::uint64_t connection, bool admitted);

  void shutdown(shutdown_type what, asio::error_code &ec);
  void close();

  // Asio's composed operations pass buffers that are a part of the handler, and
  // the handler as an rvalue. It is therefore taken by reference, and moved
  // only after the buffers are copied.

  // The names are Asio's.
  // NOLINTBEGIN(readability-identifier-naming)
  template <class Buffer, class Handler>
  void async_read_some(const Buffer &handlerBuffer, Handler &&handler) {
    const asio::mutable_buffer buffer = handlerBuffer;
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    if (!Link) {
      join(executor);
    }
    if (Closes) {
      asio::post(executor,
                 [handler = std::forward<Handler>(handler)]() mutable {
                   handler(asio::error::connection_aborted, 0);
                 });
      return;
    }
    asio::ip::tcp::socket::async_read_some(
        buffer,
        asio::bind_executor(
            executor,
            [this, buffer, executor, handler = std::forward<Handler>(handler)](
                const asio::error_code &ec, std::size_t bytes) mutable {
              if (!ec && !received({static_cast<const char *>(buffer.data()),
                                    bytes})) {
                handler(asio::error::connection_aborted, 0);
                return;
              }
              if (ec == asio::error::eof && holdsEnd()) {
                awaitReset(executor, std::move(handler));
                return;
              }
              handler(resultOfRead(ec), bytes);
            }));
  }

  template <class Buffers, class Handler>
  void async_write_some(const Buffers &handlerBuffers, Handler &&handler) {
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    const Buffers buffers = handlerBuffers;
    const auto executor =
        asio::get_associated_executor(handler, get_executor());
    Writes = true;
    asio::ip::tcp::socket::async_write_some(
        buffers, asio::bind_executor(
                     executor, [this, handler = std::forward<Handler>(handler)](
                                   const asio::error_code &ec,
                                   std::size_t bytes) mutable {
                       Writes = false;
                       handler(ec, bytes);
                     }));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  class AdmissionLink;

  /// Waits until the connection is reset or `endHeld` is called. The operation
  /// keeps the handler, so that it is dropped with the event loop.
  template <class Executor, class Handler>
  void awaitReset(const Executor &executor, Handler &&handler) {
    async_wait(wait_error,
               asio::bind_executor(
                   executor, [this, handler = std::forward<Handler>(handler)](
                                 const asio::error_code &ec) mutable {
                     handler(resultOfHeldEnd(ec), 0);
                   }));
  }

  void join(const asio::any_io_executor &executor);
  void leave();
  /// Returns whether the bytes may be passed on; if not, the connection closes.
  bool received(std::string_view bytes);
  asio::error_code resultOfRead(const asio::error_code &ec) const;
  void endReading(CloseReason reason);
  bool holdsEnd() const;
  void endHeld();
  asio::error_code resultOfHeldEnd(const asio::error_code &ec) const;

  ExpectationWatch Expectation;
  RequestProgress Progress;
  std::shared_ptr<AdmissionLink> Link;
  /// Response to send at the shutdown; may be empty.
  std::string FinalResponse;
  /// Whether the connection was refused or is to be closed.
  bool Closes = false;
  /// Whether all requests before the held end of the bytes are answered.
  bool Ends = false;
  /// Whether a part of a response is being written.
  bool Writes = false;
  bool Lingers = false;
};

} // namespace masticwinch::internal
