#include "masticwinch/http/http_server.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <atomic>

using namespace masticwinch;

namespace {

/// One request of a caller that pipelines.
struct SentRequest {
  std::string Body;
  bool Chunked = false;
};

rc::Gen<SentRequest> anyRequest() {
  return rc::gen::build<SentRequest>(
      rc::gen::set(&SentRequest::Body,
                   rc::gen::container<std::string>(rc::gen::character<char>())),
      rc::gen::set(&SentRequest::Chunked));
}

std::string chunks(const std::string &body) {
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
    return text + "Transfer-Encoding: chunked\r\n\r\n" + chunks(request.Body);
  }
  return text + "Content-Length: " + std::to_string(request.Body.size()) +
         "\r\n\r\n" + request.Body;
}

/// Takes the body of the first answer off the text; nothing if it isn't whole.
std::optional<std::string> takeAnswer(std::string &text) {
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

/// Connects to a server, sends texts one by one and reads until it closes.
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

/// Echoes bodies and counts those that broke the limit.
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

TEST_CASE("Requests in any pieces get their own answers in order",
          "[http][fuzz]") {
  EchoServer server;
  CHECK(rc::check([&] {
    const auto requests = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<SentRequest>>(anyRequest()));
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
      RC_ASSERT(takeAnswer(answers) == it.Body);
    }
    RC_ASSERT(answers.empty());
  }));
}

TEST_CASE("Damaged requests neither stop the server nor break its limits",
          "[http][fuzz]") {
  EchoServer server;
  CHECK(rc::check([&] {
    std::string text = serialize(*anyRequest(), false);
    const auto damages = *rc::gen::inRange(1, 6);
    for (int i = 0; i < damages; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      text[at] = *rc::gen::arbitrary<char>();
    }
    RawCaller damaged(server.Server.port());
    damaged.send(text);
    damaged.readAll();
    RawCaller sound(server.Server.port());
    sound.send(serialize({"sound", false}, true));
    std::string answer = sound.readUntilClosed();
    RC_ASSERT(takeAnswer(answer) == "sound");
  }));
  CHECK(server.TooLong == 0);
}
