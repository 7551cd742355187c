#include "masticwinch/http/http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"
#include <future>

using namespace masticwinch;
using testing::eventually;
using testing::RawCaller;

namespace {

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view HalfHead = "GET /a HTTP/1.1\r\nHo";
constexpr std::string_view HalfBody =
    "POST /a HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
constexpr std::string_view Answer = "\r\n\r\nanswer";
constexpr Milliseconds Short{200};
/// Longer than `Short`, and shorter than any other timeout.
constexpr Milliseconds Later{800};
constexpr Milliseconds Endless{60'000};

/// Server that answers each request after a delay.
class DelayingServer {
public:
  explicit DelayingServer(HttpTimeouts timeouts, Milliseconds delay = {})
      : Server({.Timeouts = timeouts},
               [delay](const std::shared_ptr<HttpExchange> &exchange) {
                 std::thread([exchange, delay] {
                   std::this_thread::sleep_for(delay);
                   exchange->respond({200, {}, "answer"});
                 }).detach();
               }) {
    Server.start();
  }

  HttpServer Server;
};

} // namespace

TEST_CASE("A connection whose headers take too long gets 408 and closes",
          "[http][server]") {
  DelayingServer server({.Header = Short, .Body = Endless, .Idle = Endless});
  RawCaller caller(server.Server.port());
  // Headers that trickle in are no reason to wait longer.
  caller.send("GET /a HTTP/1.1\r\n");
  for (int i = 0; i < 20 && !caller.isClosedWithin(Short / 10); ++i) {
    caller.send("a");
  }
  CHECK(caller.isClosedWithin(Later));
  CHECK(caller.received().starts_with("HTTP/1.1 408 "));
  CHECK(caller.received().find("\r\nConnection: close\r\n") !=
        std::string::npos);
  CHECK(eventually(
      [&] { return server.Server.connections().HeaderTimeouts == 1; }));
}

TEST_CASE("The headers of a request after an answered one have their time",
          "[http][server]") {
  DelayingServer server({.Header = Short, .Body = Endless, .Idle = Endless},
                        Later);
  RawCaller caller(server.Server.port());
  caller.send(std::string(Request) + std::string(HalfHead));
  CHECK(caller.receives(Answer));
  CHECK(caller.isClosedWithin(Later));
  CHECK(caller.received().find("HTTP/1.1 408 ") != std::string::npos);
}

TEST_CASE("An idle connection closes without a response", "[http][server]") {
  DelayingServer server({.Header = Endless, .Body = Endless, .Idle = Short});
  RawCaller silent(server.Server.port());
  CHECK_FALSE(silent.isClosedWithin(Short / 2));
  CHECK(silent.isClosedWithin(Later));
  CHECK(silent.received().empty());

  RawCaller caller(server.Server.port());
  caller.send(Request);
  CHECK(caller.receives(Answer));
  CHECK_FALSE(caller.isClosedWithin(Short / 2));
  caller.forgetReceived();
  caller.send(Request);
  CHECK(caller.receives(Answer));
  caller.forgetReceived();
  CHECK_FALSE(caller.isClosedWithin(Short / 2));
  CHECK(caller.isClosedWithin(Later));
  CHECK(caller.received().empty());
  CHECK(eventually(
      [&] { return server.Server.connections().IdleTimeouts == 2; }));
}

TEST_CASE("A request in progress has no timeout", "[http][server]") {
  DelayingServer server({.Header = Short, .Body = Short, .Idle = Short}, Later);
  RawCaller caller(server.Server.port());
  caller.send(Request);
  CHECK_FALSE(caller.receives(Answer, Later / 2));
  CHECK(caller.receives(Answer));
}

TEST_CASE("A body that arrives slowly exceeds no timeout of headers",
          "[http][server]") {
  DelayingServer server({.Header = Short, .Body = Endless, .Idle = Short});
  RawCaller caller(server.Server.port());
  caller.send(HalfBody);
  CHECK_FALSE(caller.isClosedWithin(Later));
  caller.send("cd");
  CHECK(caller.receives(Answer));
}

TEST_CASE("A body that takes too long gets 408", "[http][server]") {
  DelayingServer server({.Header = Endless, .Body = Short, .Idle = Endless});
  RawCaller caller(server.Server.port());
  caller.send(HalfBody);
  CHECK(caller.isClosedWithin(Later));
  CHECK(caller.received().starts_with("HTTP/1.1 408 "));
  CHECK(eventually(
      [&] { return server.Server.connections().BodyTimeouts == 1; }));
}

TEST_CASE("A timeout of 0 limits nothing", "[http][server]") {
  const std::string_view sent = GENERATE(as<std::string_view>(), "", HalfHead);
  DelayingServer server(
      {.Header = Milliseconds(0), .Body = Short, .Idle = Milliseconds(0)});
  RawCaller caller(server.Server.port());
  caller.send(sent);
  CHECK_FALSE(caller.isClosedWithin(Later));
}

TEST_CASE("Changed timeouts apply to open connections", "[http][server]") {
  DelayingServer server({});
  RawCaller silent(server.Server.port());
  RawCaller slow(server.Server.port());
  slow.send(HalfHead);
  CHECK_FALSE(silent.isClosedWithin(Short));
  server.Server.setTimeouts({.Header = Short, .Body = Endless, .Idle = Short});
  CHECK(silent.isClosedWithin(Milliseconds(2000)));
  CHECK(slow.isClosedWithin(Milliseconds(2000)));
  CHECK(slow.received().starts_with("HTTP/1.1 408 "));
}
