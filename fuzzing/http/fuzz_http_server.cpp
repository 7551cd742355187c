#include "masticwinch/http/http_server.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <atomic>

using namespace masticwinch;

namespace {

/// One of several pipelined requests.
struct SentRequest {
  std::string Body;
  bool Chunked = false;
};

rc::Gen<SentRequest> arbitraryRequest() {
  return rc::gen::build<SentRequest>(
      rc::gen::set(&SentRequest::Body,
                   rc::gen::container<std::string>(rc::gen::character<char>())),
      rc::gen::set(&SentRequest::Chunked));
}

std::string encodeChunked(const std::string &body) {
  std::string text;
  const std::size_t half = body.size() / 2;
  for (const std::string &it : {body.substr(0, half), body.substr(half)}) {
    if (!it.empty()) {
      text += fmt::format("{:x}\r\n{}\r\n", it.size(), it);
    }
  }
  return text + "0\r\n\r\n";
}

std::string serialize(const SentRequest &request, bool last) {
  std::string text = "POST /echo HTTP/1.1\r\n";
  text += last ? "Connection: close\r\n" : "";
  if (request.Chunked) {
    return text + "Transfer-Encoding: chunked\r\n\r\n" +
           encodeChunked(request.Body);
  }
  return text + "Content-Length: " + std::to_string(request.Body.size()) +
         "\r\n\r\n" + request.Body;
}

/// Removes the first response from the text and returns its body; `nullopt` if
/// the response is incomplete.
std::optional<std::string> takeResponseBody(std::string &text) {
  const std::size_t end = text.find("\r\n\r\n");
  const std::string lengthName = "Content-Length: ";
  const std::size_t length = text.find(lengthName);
  if (end == std::string::npos || length > end) {
    return std::nullopt;
  }
  const std::size_t size = std::stoul(text.substr(length + lengthName.size()));
  const std::size_t begin = end + 4;
  if (text.size() < begin + size) {
    return std::nullopt;
  }
  std::string body = text.substr(begin, size);
  text.erase(0, begin + size);
  return body;
}

/// TCP connection that sends raw bytes and reads until the server closes it.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t port) : Socket(Loop) {
    Socket.connect({asio::ip::address_v4::loopback(), port});
    Socket.set_option(asio::ip::tcp::no_delay(true));
  }

  void send(const std::string &text) {
    asio::error_code ec;
    asio::write(Socket, asio::buffer(text), ec);
  }

  std::string readAll() {
    asio::error_code ec;
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    std::string text;
    asio::read(Socket, asio::dynamic_buffer(text), ec);
    return text;
  }

  std::string readUntilClosed() {
    asio::error_code ec;
    std::string text;
    asio::read(Socket, asio::dynamic_buffer(text), ec);
    return text;
  }

private:
  asio::io_context Loop;
  asio::ip::tcp::socket Socket;
};

constexpr std::size_t MaxBodyBytes = 4096;

/// Server that echoes bodies and counts those above the limit.
class EchoServer {
public:
  EchoServer()
      : Server({.Threads = 2, .MaxBodyBytes = MaxBodyBytes},
               [this](const std::shared_ptr<HttpExchange> &exchange) {
                 const std::string &body = exchange->request().Body;
                 TooLong += body.size() > MaxBodyBytes;
                 exchange->respond({200, {}, body});
               }) {
    Server.start();
  }

  std::atomic<int> TooLong = 0;
  HttpServer Server;
};

} // namespace

TEST_CASE("Requests split at arbitrary points get their responses in order",
          "[http][fuzz]") {
  EchoServer server;
  CHECK(rc::check([&] {
    const auto requests = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<SentRequest>>(arbitraryRequest()));
    std::string text;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      text += serialize(requests[i], i + 1 == requests.size());
    }
    RawCaller caller(server.Server.port());
    while (!text.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      caller.send(text.substr(0, size));
      text.erase(0, size);
    }
    std::string answers = caller.readUntilClosed();
    for (const SentRequest &it : requests) {
      RC_ASSERT(takeResponseBody(answers) == it.Body);
    }
    RC_ASSERT(answers.empty());
  }));
}

TEST_CASE("Corrupted requests neither stop the server nor bypass its limits",
          "[http][fuzz]") {
  EchoServer server;
  CHECK(rc::check([&] {
    std::string text = serialize(*arbitraryRequest(), false);
    const auto corruptions = *rc::gen::inRange(1, 6);
    for (int i = 0; i < corruptions; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    RawCaller corrupted(server.Server.port());
    corrupted.send(text);
    corrupted.readAll();
    RawCaller valid(server.Server.port());
    valid.send(serialize({"sound", false}, true));
    std::string answer = valid.readUntilClosed();
    RC_ASSERT(takeResponseBody(answer) == "sound");
  }));
  CHECK(server.TooLong == 0);
}
