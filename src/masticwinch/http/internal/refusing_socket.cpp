#include "masticwinch/http/internal/refusing_socket.hpp"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <array>
#include <chrono>
#include <memory>

namespace masticwinch::internal {

namespace {

constexpr std::chrono::seconds LingerTimeout{1};
constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;

thread_local std::string NextResponse;

/// Reads and discards data until the peer closes, the timeout expires or
/// `MaxDiscardedBytes` were read.
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket> {
public:
  explicit LingeringSocket(asio::ip::tcp::socket socket)
      : Socket(std::move(socket)), Strand(Socket.get_executor()),
        Timer(Socket.get_executor(), LingerTimeout) {}

  void start() {
    Timer.async_wait(asio::bind_executor(
        Strand, [self = shared_from_this()](const asio::error_code &) {
          asio::error_code ignored;
          self->Socket.close(ignored);
        }));
    read();
  }

private:
  void read() {
    Socket.async_read_some(
        asio::buffer(Discarded),
        asio::bind_executor(
            Strand, [self = shared_from_this()](const asio::error_code &ec,
                                                std::size_t bytes) {
              self->Total += bytes;
              if (ec || self->Total > MaxDiscardedBytes) {
                self->Timer.cancel();
              } else {
                self->read();
              }
            }));
  }

  asio::ip::tcp::socket Socket;
  asio::strand<asio::ip::tcp::socket::executor_type> Strand;
  asio::steady_timer Timer;
  std::array<char, 4096> Discarded;
  std::size_t Total = 0;
};

} // namespace

void RefusingSocket::respondAtNextShutdown(std::string text) {
  NextResponse = std::move(text);
}

void RefusingSocket::shutdown(shutdown_type what, asio::error_code &ec) {
  if (NextResponse.empty()) {
    asio::ip::tcp::socket::shutdown(what, ec);
    return;
  }
  const std::string response = std::exchange(NextResponse, {});
  // The response fits into the send buffer of an idle connection, so that one
  // non-blocking write suffices.
  non_blocking(true, ec);
  write_some(asio::buffer(response), ec);
  asio::ip::tcp::socket::shutdown(shutdown_send, ec);
  Lingers = true;
}

void RefusingSocket::received(std::string_view bytes) {
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  if (Expectation.receive(bytes) && !Writes) {
    // Otherwise, or if the write fails, the client sends the body after a while
    // all the same.
    asio::error_code ec;
    non_blocking(true, ec);
    write_some(asio::buffer(Continue), ec);
  }
}

void RefusingSocket::close() {
  if (Lingers) {
    std::make_shared<LingeringSocket>(
        std::move(static_cast<asio::ip::tcp::socket &>(*this)))
        ->start();
    return;
  }
  asio::ip::tcp::socket::close();
}

} // namespace masticwinch::internal
