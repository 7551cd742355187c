#include "masticwinch/http/http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"
#include <condition_variable>
#include <deque>
#include <list>
#include <mutex>

using namespace masticwinch;
using testing::eventually;
using testing::RawCaller;

namespace {

constexpr std::string_view Request = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view SlowRequest =
    "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Answer = "\r\n\r\nanswer";
constexpr std::chrono::milliseconds Moment{300};

/// Server that answers `/now` at once and everything else when told.
class SlowServer {
public:
  explicit SlowServer(HttpServerOptions options)
      : Server(std::move(options),
               [this](const std::shared_ptr<HttpExchange> &exchange) {
                 if (exchange->request().Path == "/now") {
                   exchange->respond({200, {}, "answer"});
                   return;
                 }
                 const std::lock_guard<std::mutex> lock(Mutex);
                 Held.push_back(exchange);
                 Changed.notify_all();
               }) {
    Server.start();
  }

  void awaitHeld(std::size_t count) {
    std::unique_lock<std::mutex> lock(Mutex);
    REQUIRE(Changed.wait_for(lock, std::chrono::seconds(5),
                             [&] { return Held.size() >= count; }));
  }

  void answerHeld() {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const std::shared_ptr<HttpExchange> &it : Held) {
      it->respond({200, {}, "answer"});
    }
    Held.clear();
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::shared_ptr<HttpExchange>> Held;

public:
  HttpServer Server;
};

} // namespace

TEST_CASE("Connections without a whole request keep no caller from its answer",
          "[http][server]") {
  constexpr std::size_t Limit = 4;
  const std::string_view sent =
      GENERATE(as<std::string_view>(), "", "GET /now HTTP/1.1\r\nHo",
               "POST /now HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf", Request);
  CAPTURE(sent);
  SlowServer server({.MaxConnections = Limit});
  std::list<RawCaller> holders;
  for (std::size_t i = 0; i < 3 * Limit; ++i) {
    RawCaller &it = holders.emplace_back(server.Server.port());
    it.send(sent);
    if (sent == Request) {
      CHECK(it.receives(Answer));
    }
  }
  std::this_thread::sleep_for(Moment);
  for (int i = 0; i < 3; ++i) {
    RawCaller caller(server.Server.port());
    caller.send(Request);
    CHECK(caller.receives(Answer));
  }
  CHECK(server.Server.connections().Peak <= Limit);
  CHECK(server.Server.connections().Refused == 0);
  CHECK(eventually(
      [&] { return server.Server.connections().ClosedForRoom >= 3; }));
}

TEST_CASE("The connection that waits longest makes room", "[http][server]") {
  SlowServer server({.MaxConnections = 3});
  RawCaller first(server.Server.port());
  first.send(Request);
  REQUIRE(first.receives(Answer));
  RawCaller second(server.Server.port());
  second.send("GET /now HTTP/1.1\r\n");
  std::this_thread::sleep_for(Moment);
  RawCaller third(server.Server.port());
  third.send(Request);
  REQUIRE(third.receives(Answer));
  first.forgetReceived();
  first.send(Request);
  REQUIRE(first.receives(Answer));

  RawCaller fourth(server.Server.port());
  fourth.send(Request);
  CHECK(fourth.receives(Answer));
  CHECK(second.isClosedWithin(Moment));
  CHECK_FALSE(first.isClosedWithin(Moment));
  CHECK_FALSE(third.isClosedWithin(Moment));
}

TEST_CASE("A new caller is refused while all connections have a request",
          "[http][server]") {
  SlowServer server({.MaxConnections = 2});
  RawCaller first(server.Server.port());
  RawCaller second(server.Server.port());
  first.send(SlowRequest);
  second.send(SlowRequest);
  server.awaitHeld(2);

  for (int i = 0; i < 50; ++i) {
    RawCaller refused(server.Server.port());
    refused.send(Request);
    CHECK(refused.isClosedWithin(std::chrono::seconds(3)));
    CHECK(refused.received().starts_with("HTTP/1.1 503 "));
    CHECK(refused.received().find("\r\nRetry-After: ") != std::string::npos);
    CHECK(refused.received().find("\r\nConnection: close\r\n") !=
          std::string::npos);
  }
  CHECK(server.Server.connections().Open == 2);
  CHECK(server.Server.connections().Refused == 50);
  CHECK(server.Server.connections().ClosedForRoom == 0);
  server.answerHeld();
  CHECK(first.receives(Answer));
  CHECK(second.receives(Answer));

  RawCaller third(server.Server.port());
  third.send(Request);
  CHECK(third.receives(Answer));
}

TEST_CASE("A response that is being written is not closed for room",
          "[http][server]") {
  const std::string body(32UL * 1024 * 1024, 'x');
  HttpServer server({.MaxConnections = 1},
                    [&](const std::shared_ptr<HttpExchange> &exchange) {
                      exchange->respond({200, {}, body});
                    });
  server.start();
  RawCaller first(server.port());
  first.send(Request);
  REQUIRE(first.receives("x"));
  RawCaller second(server.port());
  second.send(Request);
  CHECK(second.receives("HTTP/1.1 503 "));
  CHECK_FALSE(first.isClosedWithin(std::chrono::seconds(5)));
  const std::size_t head = first.received().find("\r\n\r\n") + 4;
  CHECK(first.received().size() - head == body.size());
}

TEST_CASE("Connections at the limit are answered and make room when they idle",
          "[http][server]") {
  constexpr std::size_t Limit = 2;
  SlowServer server({.MaxConnections = Limit});
  std::list<RawCaller> callers;
  for (std::size_t i = 0; i < Limit; ++i) {
    RawCaller &it = callers.emplace_back(server.Server.port());
    it.send(SlowRequest);
  }
  server.awaitHeld(Limit);
  CHECK(server.Server.connections().Peak == Limit);
  server.answerHeld();
  for (RawCaller &it : callers) {
    CHECK(it.receives(Answer));
  }
  RawCaller next(server.Server.port());
  next.send(SlowRequest);
  server.awaitHeld(1);
  CHECK(server.Server.connections().Peak == Limit);
  server.answerHeld();
  CHECK(next.receives(Answer));
}

TEST_CASE("Callers of a server with several threads are answered under holders",
          "[http][server]") {
  SlowServer server({.Threads = 4, .MaxConnections = 8});
  std::vector<std::thread> threads;
  std::atomic<int> answered = 0;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      std::list<RawCaller> holders;
      for (int n = 0; n < 50; ++n) {
        holders.emplace_back(server.Server.port()).send("GET /now HT");
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        RawCaller caller(server.Server.port());
        caller.send(Request);
        if (caller.receives(Answer)) {
          ++answered;
        }
        if (holders.size() > 20) {
          holders.pop_front();
        }
      }
    });
  }
  for (std::thread &it : threads) {
    it.join();
  }
  CHECK(answered == 200);
}
