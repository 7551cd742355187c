#include "masticwinch/http/http_client.hpp"
#include "masticwinch/http/http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/http/caller.hpp"
#include "tests/http/raw_server.hpp"
#include <array>
#include <future>
#include <mutex>
#include <random>

using namespace masticwinch;
using testing::Caller;
using testing::getCall;
using testing::RawServer;

namespace {

/// Calls a server that sends the text as its response and closes the
/// connection.
HttpCallResult callWithRawResponse(const std::string &text) {
  RawServer server([&](asio::ip::tcp::socket &socket) {
    RawServer::readHeaders(socket);
    RawServer::write(socket, text);
  });
  Caller caller;
  return caller.call(getCall(server.url()));
}

} // namespace

TEST_CASE("A truncated or malformed response is reported as broken",
          "[http][client]") {
  const auto answer = GENERATE(
      as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\n12345",
      "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 100 Continue\r\n\r\n",
      "nonsense\r\n\r\n", "");
  CAPTURE(answer);
  const HttpCallResult result = callWithRawResponse(answer);
  CHECK(result.Outcome == HttpOutcome::Broken);
  CHECK(result.MayHaveBeenSent);
}

TEST_CASE("Responses with a length or chunked encoding are read",
          "[http][client]") {
  const auto answer = GENERATE(
      as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\n12345\r\n0\r\n\r\n");
  const HttpCallResult result = callWithRawResponse(answer);
  CHECK(result.Outcome == HttpOutcome::Answered);
  CHECK(result.Response.Status == 200);
  CHECK(result.Response.Body == "12345");
}

TEST_CASE("A redirect is returned, not followed", "[http][client]") {
  const HttpCallResult result =
      callWithRawResponse("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n"
                          "Content-Length: 0\r\n\r\n");
  CHECK(result.Outcome == HttpOutcome::Answered);
  CHECK(result.Response.Status == 302);
}

TEST_CASE("A response above the size limit fails the call", "[http][client]") {
  HttpServer server({}, [](const std::shared_ptr<HttpExchange> &exchange) {
    exchange->respond({200, {}, std::string(2000, 'x')});
  });
  server.start();
  Caller caller;
  HttpCall call =
      getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/");
  call.MaxAnswerBytes = 1999;
  CHECK(caller.call(call).Outcome == HttpOutcome::TooLong);
  call.MaxAnswerBytes = 2000;
  CHECK(caller.call(call).Outcome == HttpOutcome::Answered);
}

TEST_CASE("A refused connection is reported as not sent", "[http][client]") {
  asio::io_context loop;
  asio::ip::tcp::acceptor closed(loop, {asio::ip::address_v4::loopback(), 0});
  const std::string url =
      "http://127.0.0.1:" + std::to_string(closed.local_endpoint().port()) +
      "/";
  closed.close();
  Caller caller;
  const HttpCallResult result = caller.call(getCall(url));
  CHECK(result.Outcome == HttpOutcome::NotSent);
  CHECK_FALSE(result.MayHaveBeenSent);
}

TEST_CASE("A call with line breaks in a header is not sent", "[http][client]") {
  Caller caller;
  HttpCall call = getCall("http://127.0.0.1:1/");
  call.Headers.add("X-Note", "a\r\nX-Other: b");
  CHECK(caller.call(call).Outcome == HttpOutcome::NotSent);
}

TEST_CASE("A timed-out request may have been sent", "[http][client]") {
  HttpServer server({}, [](std::shared_ptr<HttpExchange> exchange) {
    // The callback keeps the exchange alive until the caller disconnects.
    HttpExchange &it = *exchange;
    it.onCallerGone([exchange = std::move(exchange)] {});
  });
  server.start();
  Caller caller;
  HttpCall call =
      getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/");
  call.Timeout = Milliseconds(50);
  const HttpCallResult result = caller.call(call);
  CHECK(result.Outcome == HttpOutcome::TimedOut);
  CHECK(result.MayHaveBeenSent);
}

TEST_CASE("Cancelling a call closes its connection", "[http][client]") {
  std::promise<void> received;
  std::promise<void> gone;
  RawServer server([&](asio::ip::tcp::socket &socket) {
    RawServer::readHeaders(socket);
    received.set_value();
    std::array<char, 1> byte{};
    asio::error_code ec;
    socket.read_some(asio::buffer(byte), ec);
    if (ec) {
      gone.set_value();
    }
  });
  Caller caller;
  std::vector<HttpOutcome> outcomes;
  const HttpCallId id =
      caller.Client.start(getCall(server.url()), [&](const HttpCallResult &it) {
        outcomes.push_back(it.Outcome);
      });
  auto arrival = received.get_future();
  caller.runUntil([&] {
    return arrival.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  });

  caller.Client.cancel(id);
  CHECK(outcomes.empty());
  caller.Client.cancel(id);
  gone.get_future().wait();
  caller.runUntil([&] { return !outcomes.empty(); });
  caller.Loop.poll();
  CHECK(outcomes == std::vector<HttpOutcome>{HttpOutcome::Cancelled});
}

TEST_CASE("A request on a fresh connection is never sent twice",
          "[http][client]") {
  std::atomic<int> requests = 0;
  // Responds to the first request and closes the connection on later ones.
  RawServer server([&](asio::ip::tcp::socket &socket) {
    while (!RawServer::readHeaders(socket).empty()) {
      if (++requests > 1) {
        return;
      }
      RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  Caller caller;
  REQUIRE(caller.call(getCall(server.url())).Outcome == HttpOutcome::Answered);

  HttpCall call = getCall(server.url());
  SECTION("fresh connection") {
    call.FreshConnection = true;
    CHECK(caller.call(call).Outcome == HttpOutcome::Broken);
    CHECK(requests == 2);
  }
  SECTION("reused connection, on which libcurl resends the request") {
    CHECK(caller.call(call).Outcome == HttpOutcome::Broken);
    CHECK(requests == 3);
  }
}

TEST_CASE("A body that must be sent once is not sent on a second connection",
          "[http][client]") {
  std::atomic<int> requests = 0;
  // Responds to the first request and closes the connection on later ones.
  RawServer server([&](asio::ip::tcp::socket &socket) {
    while (!RawServer::readRequest(socket).empty()) {
      if (++requests > 1) {
        return;
      }
      RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  Caller caller;
  HttpCall call = getCall(server.url());
  call.Method = "POST";
  call.Body = "start";
  call.SendBodyOnce = true;
  REQUIRE(caller.call(call).Outcome == HttpOutcome::Answered);
  const HttpCallResult result = caller.call(call);
  CHECK(result.Outcome == HttpOutcome::Broken);
  CHECK(result.MayHaveBeenSent);
  CHECK(requests == 2);
}

TEST_CASE("Concurrent calls each get their own response", "[http][client]") {
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpExchange>> waiting;
  std::mt19937 random(20261203);
  constexpr std::size_t Batch = 16;
  // Responds to a batch of requests at a time, in random order.
  HttpServer server({.Threads = 3}, [&](std::shared_ptr<HttpExchange> it) {
    std::vector<std::shared_ptr<HttpExchange>> ready;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      waiting.push_back(std::move(it));
      if (waiting.size() < Batch) {
        return;
      }
      ready.swap(waiting);
      std::shuffle(ready.begin(), ready.end(), random);
    }
    for (const auto &exchange : ready) {
      exchange->respond({200, {}, "answer to " + exchange->request().Body});
    }
  });
  server.start();

  Caller caller;
  constexpr std::size_t Calls = 64 * Batch;
  constexpr std::size_t Concurrent = 4 * Batch;
  std::size_t started = 0;
  std::size_t ended = 0;
  std::size_t failed = 0;
  std::function<void()> startNext = [&] {
    if (started == Calls) {
      return;
    }
    HttpCall call =
        getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/");
    call.Method = "POST";
    call.Body = std::to_string(started++);
    const std::string expected = "answer to " + call.Body;
    caller.Client.start(std::move(call), [&, expected](HttpCallResult result) {
      ++ended;
      failed += result.Outcome != HttpOutcome::Answered ||
                result.Response.Body != expected;
      startNext();
    });
  };
  for (std::size_t i = 0; i < Concurrent; ++i) {
    startNext();
  }
  caller.runUntil([&] { return ended == Calls; });
  CHECK(failed == 0);
}

TEST_CASE("A response after the timeout is not delivered to a later call",
          "[http][client]") {
  std::mutex mutex;
  std::shared_ptr<HttpExchange> late;
  HttpServer server({}, [&](std::shared_ptr<HttpExchange> exchange) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (exchange->request().Path == "/late") {
      late = std::move(exchange);
      return;
    }
    if (late) {
      late->respond({200, {}, "late"});
    }
    exchange->respond({200, {}, "prompt"});
  });
  server.start();
  const std::string url = "http://127.0.0.1:" + std::to_string(server.port());
  Caller caller;
  for (int i = 0; i < 20; ++i) {
    HttpCall call = getCall(url + "/late");
    call.Timeout = Milliseconds(20);
    CHECK(caller.call(call).Outcome == HttpOutcome::TimedOut);
    const HttpCallResult prompt = caller.call(getCall(url + "/prompt"));
    CHECK(prompt.Outcome == HttpOutcome::Answered);
    CHECK(prompt.Response.Body == "prompt");
  }
}
