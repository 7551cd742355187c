#pragma once

#include <asio.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace masticwinch::testing {

/// Listens on an ephemeral port and hands each connection to a function on a
/// thread of its own, for answers that no sound server gives. The client has to
/// be gone before it is destroyed.
class RawServer {
public:
  using Serve = std::function<void(asio::ip::tcp::socket &)>;

  explicit RawServer(Serve serve)
      : Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
        Thread([this, serve = std::move(serve)] { acceptAll(serve); }) {}

  ~RawServer() {
    Stopping = true;
    asio::ip::tcp::socket wake(Loop);
    wake.connect(Acceptor.local_endpoint());
    Thread.join();
    for (std::thread &it : Connections) {
      it.join();
    }
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port()) + "/";
  }

  /// Reads up to the end of the headers; empty if the connection closed.
  static std::string readHeaders(asio::ip::tcp::socket &socket) {
    std::string text;
    asio::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    return ec ? std::string() : text;
  }

  static void write(asio::ip::tcp::socket &socket, const std::string &text) {
    asio::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
  }

private:
  void acceptAll(const Serve &serve) {
    while (true) {
      asio::ip::tcp::socket socket(Loop);
      Acceptor.accept(socket);
      if (Stopping) {
        return;
      }
      Connections.emplace_back(
          [&serve, it = std::move(socket)]() mutable { serve(it); });
    }
  }

  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Connections;
  std::thread Thread;
};

} // namespace masticwinch::testing
