#pragma once

#include <asio.hpp>
#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

namespace masticwinch::testing {

/// Whether the condition holds within a bounded time. The server takes note of
/// a closed connection after the caller sees it.
template <class Condition> bool eventually(Condition condition) {
  constexpr int Checks = 300;
  constexpr std::chrono::milliseconds Interval{10};
  for (int i = 0; i < Checks && !condition(); ++i) {
    std::this_thread::sleep_for(Interval);
  }
  return condition();
}

/// A caller that sends bytes as they are and waits for bytes for a bounded
/// time.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t port) : Socket(Loop) {
    Socket.connect({asio::ip::address_v4::loopback(), port});
  }

  void send(std::string_view text) {
    asio::error_code ec;
    asio::write(Socket, asio::buffer(text), ec);
  }

  /// Ends the sending half; the receiving half stays open.
  void endSending() { Socket.shutdown(asio::ip::tcp::socket::shutdown_send); }

  /// Closes the connection with a reset, as the system does for a process that
  /// is gone with bytes unread.
  void reset() {
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
  }

  /// Reads until the received bytes contain `text`; returns whether they do
  /// before the connection closes or the time is up.
  bool
  receives(std::string_view text,
           std::chrono::milliseconds limit = std::chrono::milliseconds(3000)) {
    return waitFor([&] { return Received.find(text) != std::string::npos; },
                   limit);
  }

  /// Reads until the server closes the connection; returns whether it does.
  bool isClosedWithin(std::chrono::milliseconds limit) {
    return waitFor([&] { return Closed; }, limit);
  }

  const std::string &received() const { return Received; }
  void forgetReceived() { Received.clear(); }

private:
  template <class Condition>
  bool waitFor(const Condition &condition, std::chrono::milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
          end - std::chrono::steady_clock::now());
      pollfd descriptor{Socket.native_handle(), POLLIN, 0};
      if (Closed || left.count() <= 0 ||
          poll(&descriptor, 1, static_cast<int>(left.count())) <= 0) {
        return condition();
      }
      std::array<char, 4096> bytes{};
      asio::error_code ec;
      Received.append(bytes.data(), Socket.read_some(asio::buffer(bytes), ec));
      Closed = Closed || ec;
    }
    return true;
  }

  asio::io_context Loop;
  asio::ip::tcp::socket Socket;
  std::string Received;
  bool Closed = false;
};

} // namespace masticwinch::testing
