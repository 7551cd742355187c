#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio.hpp>
#include <catch2/catch.hpp>

#include "tests/peers/free_address.hpp"
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace masticwinch;
using namespace masticwinch::peers;
using asio::ip::tcp;
using masticwinch::tests::freeAddress;

namespace {

OperatingSystemClock Time;

/// A network path to a mailbox. It accepts one connection after the other, and
/// delivers what each has carried when the test says so.
class Path {
public:
  explicit Path(const std::string &target)
      : Target(asio::ip::make_address("127.0.0.1"),
               static_cast<std::uint16_t>(
                   std::stoul(target.substr(target.rfind(':') + 1)))),
        Acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {}

  std::string address() const {
    return "tcp://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port());
  }

  tcp::socket accept() {
    tcp::socket socket(Context);
    Acceptor.accept(socket);
    return socket;
  }

  /// Reads until the sender closes the connection.
  static std::string readAll(tcp::socket &socket) {
    std::string bytes;
    asio::error_code ec;
    asio::read(socket, asio::dynamic_buffer(bytes), ec);
    return bytes;
  }

  tcp::socket connectToTarget() {
    tcp::socket socket(Context);
    socket.connect(Target);
    return socket;
  }

  /// Passes on what the sender writes, until it closes the connection.
  static void forward(tcp::socket &from, tcp::socket &to) {
    std::array<char, 4096> buffer{};
    asio::error_code ec;
    while (const std::size_t bytes = from.read_some(asio::buffer(buffer), ec)) {
      asio::write(to, asio::buffer(buffer, bytes), ec);
    }
  }

private:
  asio::io_context Context;
  const tcp::endpoint Target;
  tcp::acceptor Acceptor;
};

/// A mailbox that keeps the numbers of the hellos that it receives.
class Receiver {
public:
  Receiver() { Box.start(); }

  std::vector<std::uint64_t> numbers() {
    const std::lock_guard lock(Mutex);
    return Numbers;
  }

  /// Waits until the condition holds, at most for ten seconds.
  template <class Condition> static bool waitFor(Condition condition) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(5));
    }
    return condition();
  }

  std::mutex Mutex;
  std::vector<std::uint64_t> Numbers;
  EventLog Events{{"receiver", 1, "/dev/null"}, Time};
  Mailbox Box{{"test", "receiver", 1, freeAddress()},
              [this](const protocol::Envelope &it) {
                const std::lock_guard lock(Mutex);
                Numbers.push_back(it.entry_hello().sequence());
              },
              Events};
};

protocol::Envelope hello(std::uint64_t number) {
  protocol::Envelope envelope;
  envelope.mutable_entry_hello()->set_sequence(number);
  return envelope;
}

} // namespace

// Guards against a submission that was refused and runs after all: a copy of it
// that was written to an earlier connection arrived after the refused one.
TEST_CASE("Bytes of a connection that was given up are ignored once the next "
          "connection has delivered a message",
          "[peers]") {
  Receiver receiver;
  Path path(receiver.Box.options().Address);
  EventLog events({"sender", 1, "/dev/null"}, Time);
  Mailbox sender(
      {"test", "sender", 1, freeAddress()}, [](const protocol::Envelope &) {},
      events);
  sender.start();
  sender.send(path.address(), hello(1));
  tcp::socket first = path.accept();
  // Nothing is acknowledged, so that the sender gives the connection up.
  const std::string held = Path::readAll(first);
  REQUIRE_FALSE(held.empty());

  sender.send(path.address(), hello(2));
  tcp::socket second = path.accept();
  tcp::socket toReceiver = path.connectToTarget();
  std::thread forwarder([&] { Path::forward(second, toReceiver); });
  REQUIRE(Receiver::waitFor([&] { return receiver.numbers().size() == 1; }));

  tcp::socket late = path.connectToTarget();
  asio::write(late, asio::buffer(held));
  // The receiver closes the outdated connection.
  CHECK(Path::readAll(late).empty());
  CHECK(receiver.Box.traffic().OutdatedMessages == 1);
  sender.stop();
  forwarder.join();
  CHECK(receiver.numbers() == std::vector<std::uint64_t>{2});
}

TEST_CASE("A connection that was opened before the next one has delivered "
          "nothing is still of use",
          "[peers]") {
  Receiver receiver;
  Path path(receiver.Box.options().Address);
  EventLog events({"sender", 1, "/dev/null"}, Time);
  Mailbox sender(
      {"test", "sender", 1, freeAddress()}, [](const protocol::Envelope &) {},
      events);
  sender.start();
  sender.send(path.address(), hello(1));
  tcp::socket first = path.accept();
  const std::string held = Path::readAll(first);
  tcp::socket late = path.connectToTarget();
  asio::write(late, asio::buffer(held));
  CHECK(Receiver::waitFor([&] { return receiver.numbers().size() == 1; }));

  sender.send(path.address(), hello(2));
  tcp::socket second = path.accept();
  tcp::socket toReceiver = path.connectToTarget();
  std::thread forwarder([&] { Path::forward(second, toReceiver); });
  CHECK(Receiver::waitFor([&] { return receiver.numbers().size() == 2; }));
  // What comes on the first connection now is outdated.
  asio::write(late, asio::buffer(held));
  CHECK(Receiver::waitFor(
      [&] { return receiver.Box.traffic().OutdatedMessages > 0; }));
  sender.stop();
  forwarder.join();
  CHECK(receiver.numbers() == std::vector<std::uint64_t>{1, 2});
}
