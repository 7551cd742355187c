#include "masticwinch/http/internal/refusing_socket.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using masticwinch::internal::RefusingSocket;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::string_view Head = "HTTP/1.1 200 OK\r\n\r\n";
constexpr std::string_view Body = "answer";

/// A socket whose other end is an ordinary one.
struct Connection {
  Connection() : Socket(Loop), Peer(Loop) {
    Tcp::acceptor acceptor(Loop, {asio::ip::address_v4::loopback(), 0});
    Peer.connect(acceptor.local_endpoint());
    acceptor.accept(Socket);
  }

  asio::io_context Loop;
  RefusingSocket Socket;
  Tcp::socket Peer;
};

struct Result {
  asio::error_code Code;
  std::size_t Bytes = 0;
};

/// Owns the buffers of the operation that it starts and is that operation's
/// handler, like a composed operation of Asio. A function that moves the
/// handler before it uses the buffers finds them empty.
template <class Buffers> class ComposedOperation {
public:
  ComposedOperation(RefusingSocket &socket, Buffers buffers,
                    std::optional<Result> &result)
      : Socket(&socket), Target(std::move(buffers)), Outcome(&result) {}
  ComposedOperation(ComposedOperation &&other) noexcept
      : Socket(other.Socket), Target(std::exchange(other.Target, Buffers())),
        Outcome(other.Outcome) {}
  ComposedOperation &operator=(ComposedOperation &&) = delete;
  ~ComposedOperation() = default;

  void write() { Socket->async_write_some(Target, std::move(*this)); }
  void read() { Socket->async_read_some(Target, std::move(*this)); }

  void operator()(const asio::error_code &ec, std::size_t bytes) {
    *Outcome = Result{ec, bytes};
  }

private:
  RefusingSocket *Socket;
  Buffers Target;
  std::optional<Result> *Outcome;
};

} // namespace

TEST_CASE("A write sends the buffers that its handler owns", "[http][socket]") {
  Connection connection;
  std::optional<Result> result;
  ComposedOperation<std::vector<asio::const_buffer>>(
      connection.Socket, {asio::buffer(Head), asio::buffer(Body)}, result)
      .write();
  connection.Loop.run();
  REQUIRE(result);
  CHECK(result->Code == asio::error_code());
  REQUIRE(result->Bytes == Head.size() + Body.size());
  std::string received(result->Bytes, '\0');
  asio::read(connection.Peer, asio::buffer(received));
  CHECK(received == std::string(Head) + std::string(Body));
}

TEST_CASE("A read fills the buffer that its handler owns", "[http][socket]") {
  Connection connection;
  asio::write(connection.Peer, asio::buffer(Body));
  std::array<char, 64> bytes{};
  std::optional<Result> result;
  ComposedOperation<asio::mutable_buffer>(connection.Socket,
                                          asio::buffer(bytes), result)
      .read();
  connection.Loop.run();
  REQUIRE(result);
  CHECK(result->Code == asio::error_code());
  CHECK(std::string_view(bytes.data(), result->Bytes) == Body);
}

TEST_CASE("A composed write of several buffers sends them all",
          "[http][socket]") {
  Connection connection;
  // Longer than what one write passes on while the peer doesn't read.
  const std::string body(8 * 1024 * 1024, 'x');
  std::optional<Result> result;
  asio::async_write(
      connection.Socket,
      std::vector<asio::const_buffer>{asio::buffer(Head), asio::buffer(body)},
      [&](const asio::error_code &ec, std::size_t n) {
        result = Result{ec, n};
      });
  std::string received(Head.size() + body.size(), '\0');
  std::size_t read = 0;
  asio::async_read(connection.Peer, asio::buffer(received),
                   [&](const asio::error_code &, std::size_t n) { read = n; });
  connection.Loop.run();
  REQUIRE(result);
  CHECK(result->Code == asio::error_code());
  CHECK(result->Bytes == Head.size() + body.size());
  CHECK(read == received.size());
  CHECK(received == std::string(Head) + body);
}
