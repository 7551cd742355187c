#pragma once

#include <asio.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace masticwinch::testing {

/// TCP server for malformed or incomplete responses. Listens on an ephemeral
/// port and passes each connection to a function on its own thread. The client
/// must be destroyed first: the destructor joins the threads.
class RawServer {
public:
  using ConnectionHandler = std::function<void(asio::ip::tcp::socket &)>;

  explicit RawServer(ConnectionHandler handler)
      : Acceptor(Loop, {asio::ip::address_v4::loopback(), 0}),
        Thread([this, handler = std::move(handler)] { acceptAll(handler); }) {}

  ~RawServer() {
    Stopping = true;
    asio::ip::tcp::socket wakeUp(Loop);
    wakeUp.connect(Acceptor.local_endpoint());
    Thread.join();
    for (std::thread &it : Connections) {
      it.join();
    }
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port()) + "/";
  }

  /// Reads up to the end of the headers; returns an empty string if the
  /// connection closed.
  static std::string readHeaders(asio::ip::tcp::socket &socket) {
    std::string text;
    asio::error_code ec;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    return ec ? std::string() : text;
  }

  /// Reads a request with a `Content-Length`; returns its body, which is empty
  /// if the connection closed.
  static std::string readRequest(asio::ip::tcp::socket &socket) {
    constexpr std::string_view Field = "Content-Length: ";
    std::string text;
    asio::error_code ec;
    const std::size_t head =
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
    const std::size_t field = text.find(Field);
    if (ec || field == std::string::npos) {
      return {};
    }
    const std::size_t length = std::stoul(text.substr(field + Field.size()));
    const std::size_t missing =
        head + length - std::min(head + length, text.size());
    asio::read(socket, asio::dynamic_buffer(text),
               asio::transfer_exactly(missing), ec);
    return ec ? std::string() : text.substr(head, length);
  }

  static void write(asio::ip::tcp::socket &socket, const std::string &text) {
    asio::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
  }

private:
  void acceptAll(const ConnectionHandler &handler) {
    while (true) {
      asio::ip::tcp::socket socket(Loop);
      Acceptor.accept(socket);
      if (Stopping) {
        return;
      }
      Connections.emplace_back(
          [&handler, it = std::move(socket)]() mutable { handler(it); });
    }
  }

  asio::io_context Loop;
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<bool> Stopping = false;
  std::vector<std::thread> Connections;
  std::thread Thread;
};

} // namespace masticwinch::testing
