#include "masticwinch/http/internal/refusing_socket.hpp"

#include "masticwinch/http/internal/response_rules.hpp"

#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>

namespace masticwinch::internal {

namespace {

constexpr std::chrono::seconds LingerTimeout{1};
constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;

thread_local std::string NextResponse;

struct NextReader {
  std::shared_ptr<Admission> Server;
  std::uint64_t Connection = 0;
  bool Admitted = false;
};

thread_local std::optional<NextReader> NextReaderToJoin;

std::string refusal() {
  HttpResponse response =
      errorResponse(503, "connections_used_up",
                    "the server has no connection to spare; try again");
  response.Headers.add("Retry-After", "1");
  return serializeFinalResponse(response);
}

std::string memoryRefusal() {
  HttpResponse response = errorResponse(
      503, "memory_used_up",
      "the server has no memory to spare for requests; try again");
  response.Headers.add("Retry-After", "1");
  return serializeFinalResponse(response);
}

std::string oversizeRefusal() {
  return serializeFinalResponse(
      errorResponse(413, "request_too_large",
                    "the request takes more memory than the server has for "
                    "requests"));
}

std::string timeoutResponse() {
  return serializeFinalResponse(
      errorResponse(408, "request_timeout",
                    "the request didn't arrive whole within the time allowed"));
}

/// Reads and discards data until the peer closes, the timeout expires or
/// `MaxDiscardedBytes` were read.
class LingeringSocket : public std::enable_shared_from_this<LingeringSocket> {
public:
  explicit LingeringSocket(asio::ip::tcp::socket socket)
      : Socket(std::move(socket)), Strand(Socket.get_executor()),
        Timer(Socket.get_executor(), LingerTimeout) {
    ++Count;
  }

  ~LingeringSocket() { --Count; }
  LingeringSocket(const LingeringSocket &) = delete;
  LingeringSocket &operator=(const LingeringSocket &) = delete;

  /// Whether one more may linger; the process has `MaxLingeringConnections`.
  static bool hasRoom() { return Count < MaxLingeringConnections; }

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

  static inline std::atomic<std::size_t> Count = 0;

  asio::ip::tcp::socket Socket;
  asio::strand<asio::ip::tcp::socket::executor_type> Strand;
  asio::steady_timer Timer;
  std::array<char, 4096> Discarded;
  std::size_t Total = 0;
};

} // namespace

/// Connects a socket to `Admission`; outlives the socket.
class RefusingSocket::AdmissionLink final
    : public AdmittedConnection,
      public std::enable_shared_from_this<AdmissionLink> {
public:
  AdmissionLink(RefusingSocket *socket, asio::any_io_executor executor,
                NextReader reader)
      : Reader(std::move(reader)), Executor(std::move(executor)),
        Socket(socket) {}

  bool hasUnreadBytes() override {
    const std::lock_guard<std::mutex> lock(Mutex);
    asio::error_code ec;
    // A closed socket gives its place up by itself.
    return Socket == nullptr || Socket->available(ec) > 0;
  }

  void requestClose(CloseReason reason) override {
    asio::post(Executor, [self = shared_from_this(), reason] {
      if (!self->Reader.Server->isToBeClosed(self->Reader.Connection)) {
        return;
      }
      const std::lock_guard<std::mutex> lock(self->Mutex);
      if (self->Socket != nullptr) {
        self->Socket->endReading(reason);
      }
    });
  }

  void requestEnd() override {
    asio::post(Executor, [self = shared_from_this()] {
      const std::lock_guard<std::mutex> lock(self->Mutex);
      if (self->Socket != nullptr) {
        self->Socket->endHeld();
      }
    });
  }

  void leave() {
    const std::lock_guard<std::mutex> lock(Mutex);
    Socket = nullptr;
  }

  const NextReader Reader;

private:
  const asio::any_io_executor Executor;
  std::mutex Mutex;
  /// Null once the socket is closed.
  RefusingSocket *Socket;
};

void RefusingSocket::respondAtNextShutdown(std::string text) {
  NextResponse = std::move(text);
}

void RefusingSocket::connectNextReader(std::shared_ptr<Admission> admission,
                                       std::uint64_t connection,
                                       bool admitted) {
  NextReaderToJoin = {std::move(admission), connection, admitted};
}

void RefusingSocket::join(const asio::any_io_executor &executor) {
  if (!NextReaderToJoin) {
    return;
  }
  Link = std::make_shared<AdmissionLink>(
      this, executor, *std::exchange(NextReaderToJoin, std::nullopt));
  if (Link->Reader.Admitted) {
    Link->Reader.Server->join(Link->Reader.Connection, Link);
  } else {
    Closes = true;
    FinalResponse = refusal();
  }
}

void RefusingSocket::leave() {
  if (Link) {
    Link->leave();
  }
}

void RefusingSocket::endReading(CloseReason reason) {
  Closes = true;
  if (reason == CloseReason::Memory) {
    if (!Link->Reader.Server->mayRefuse(Link->Reader.Connection)) {
      // RESTinio goes on after a cancelled write.
      asio::error_code ignored;
      asio::ip::tcp::socket::shutdown(shutdown_both, ignored);
      return;
    }
    FinalResponse = memoryRefusal();
  } else if (Progress.part() != RequestPart::None) {
    FinalResponse = reason == CloseReason::Room ? refusal() : timeoutResponse();
  }
  asio::error_code ec;
  cancel(ec);
}

/// Result of a read that RESTinio gets: it ignores a cancelled one, and closes
/// the connection after an error.
asio::error_code
RefusingSocket::resultOfRead(const asio::error_code &ec) const {
  const bool cancelled = ec == asio::error::operation_aborted;
  if (cancelled && Closes && is_open()) {
    return asio::error::connection_aborted;
  }
  return ec;
}

bool RefusingSocket::holdsEnd() const {
  return Link && !Closes &&
         Link->Reader.Server->holdEnd(Link->Reader.Connection);
}

void RefusingSocket::endHeld() {
  Ends = true;
  asio::error_code ec;
  cancel(ec);
}

/// Result of the read whose end of the bytes was held. RESTinio cancels it
/// itself before it writes the last response of a connection.
asio::error_code
RefusingSocket::resultOfHeldEnd(const asio::error_code &ec) const {
  if (!is_open()) {
    return asio::error::operation_aborted;
  }
  if (ec == asio::error::operation_aborted) {
    return Ends ? asio::error_code(asio::error::eof) : ec;
  }
  return asio::error::connection_reset;
}

void RefusingSocket::shutdown(shutdown_type what, asio::error_code &ec) {
  std::string response = std::exchange(NextResponse, {});
  if (!FinalResponse.empty()) {
    response = std::exchange(FinalResponse, {});
  }
  if (response.empty()) {
    asio::ip::tcp::socket::shutdown(what, ec);
    return;
  }
  // The response fits into the send buffer of an idle connection, so that one
  // non-blocking write suffices.
  non_blocking(true, ec);
  write_some(asio::buffer(response), ec);
  asio::ip::tcp::socket::shutdown(shutdown_send, ec);
  Lingers = true;
}

bool RefusingSocket::received(std::string_view bytes) {
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  Progress.receive(bytes);
  if (Link) {
    const NextReader &reader = Link->Reader;
    switch (reader.Server->received(reader.Connection, Progress)) {
    case Reception::Accept:
      break;
    case Reception::Refuse:
      FinalResponse = memoryRefusal();
      Closes = true;
      return false;
    case Reception::RefuseForGood:
      FinalResponse = oversizeRefusal();
      Closes = true;
      return false;
    case Reception::Close:
      Closes = true;
      return false;
    }
    if (Closes && !reader.Server->isToBeClosed(reader.Connection)) {
      // The request that makes the connection stay came just in time.
      Closes = false;
      FinalResponse.clear();
    }
  }
  if (Expectation.receive(bytes) && !Writes) {
    // Otherwise, or if the write fails, the client sends the body after a while
    // all the same.
    asio::error_code ec;
    non_blocking(true, ec);
    write_some(asio::buffer(Continue), ec);
  }
  return true;
}

void RefusingSocket::close() {
  leave();
  if (Lingers && LingeringSocket::hasRoom()) {
    std::make_shared<LingeringSocket>(
        std::move(static_cast<asio::ip::tcp::socket &>(*this)))
        ->start();
    return;
  }
  asio::ip::tcp::socket::close();
}

} // namespace masticwinch::internal
