#include "masticwinch/http/http_server.hpp"

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "tests/http/caller.hpp"
#include <future>

using namespace masticwinch;
using testing::Caller;
using testing::getCall;

namespace {

/// Server that returns the parsed method, path, query and body of each request.
class EchoServer {
public:
  explicit EchoServer(HttpServerOptions options = {})
      : Server(std::move(options),
               [this](const std::shared_ptr<HttpExchange> &exchange) {
                 ++Handled;
                 const HttpRequest &it = exchange->request();
                 exchange->respond(
                     {200,
                      {{"X-Path", it.Path},
                       {"X-Query", it.Query},
                       {"X-Host", std::string(it.Headers.find("Host").value_or(
                                      std::string_view()))}},
                      it.Method + " " + it.Body});
               }) {
    Server.start();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server.port());
  }

  /// Sends raw bytes and returns everything received until the server closes.
  std::string exchangeRaw(const std::string &text) {
    asio::io_context loop;
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::address_v4::loopback(), Server.port()});
    asio::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
  }

  std::atomic<int> Handled = 0;
  HttpServer Server;
};

std::string errorCode(const HttpResponse &response) {
  return nlohmann::json::parse(response.Body).at("code");
}

} // namespace

TEST_CASE("The handler gets method, undecoded path, query and body",
          "[http][server]") {
  EchoServer server;
  Caller caller;
  HttpCall call = getCall(server.url() + "/a%2Fb%20c+d?x=1%26&y");
  call.Method = GENERATE("POST", "PUT", "DELETE");
  call.Body = std::string("body\0\r\n", 7);
  const HttpCallResult result = caller.call(call);
  REQUIRE(result.Outcome == HttpOutcome::Answered);
  CHECK(result.Response.Headers.find("x-path") == "/a%2Fb%20c+d");
  CHECK(result.Response.Headers.find("X-QUERY") == "x=1%26&y");
  CHECK(result.Response.Body == call.Method + " " + call.Body);
}

TEST_CASE("A target in absolute form names the host and the path",
          "[http][server]") {
  EchoServer server;
  const std::string answer =
      server.exchangeRaw("GET http://h.example/a?b HTTP/1.1\r\nHost: other\r\n"
                         "Connection: close\r\n\r\n");
  CHECK(answer.find("X-Path: /a\r\n") != std::string::npos);
  CHECK(answer.find("X-Query: b\r\n") != std::string::npos);
  CHECK(answer.find("X-Host: h.example\r\n") != std::string::npos);
}

TEST_CASE("A caller that waits for 100 Continue gets it and then the response",
          "[http][server]") {
  EchoServer server;
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), server.Server.port()});
  asio::write(socket,
              asio::buffer(std::string(
                  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                  "Expect: 100-continue\r\nConnection: close\r\n\r\n")));
  std::string answer;
  asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n");
  CHECK(answer == "HTTP/1.1 100 Continue\r\n\r\n");
  asio::write(socket, asio::buffer(std::string("{}")));
  asio::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  CHECK(answer.find("HTTP/1.1 200 OK\r\n") != std::string::npos);
  CHECK(answer.ends_with("POST {}"));
}

TEST_CASE("Query parameters are found by name and decoded", "[http][server]") {
  HttpRequest request;
  request.Query = "a=1&b%20c=x%3Dy&empty&bad=%zz";
  CHECK(request.queryValue("a") == "1");
  CHECK(request.queryValue("b c") == "x=y");
  CHECK(request.queryValue("empty") == "");
  CHECK_FALSE(request.queryValue("bad"));
  CHECK_FALSE(request.queryValue("missing"));
}

TEST_CASE("Requests above a limit are rejected with a JSON error",
          "[http][server]") {
  EchoServer server({.MaxHeaderBytes = 500, .MaxBodyBytes = 100});
  Caller caller;
  HttpCall call = getCall(server.url() + "/");

  SECTION("body") {
    call.Method = "POST";
    call.Body = std::string(101, 'x');
    const HttpCallResult result = caller.call(call);
    CHECK(result.Response.Status == 413);
    CHECK(errorCode(result.Response) == "body_too_long");
  }
  SECTION("headers") {
    call.Headers.add("X-Long", std::string(600, 'x'));
    const HttpCallResult result = caller.call(call);
    CHECK(result.Response.Status == 431);
    CHECK(errorCode(result.Response) == "headers_too_long");
  }
  SECTION("target") {
    call.Url += std::string(600, 'x');
    const HttpCallResult result = caller.call(call);
    CHECK(result.Response.Status == 414);
  }
  SECTION("percent sequence") {
    call.Url += "%g1";
    const HttpCallResult result = caller.call(call);
    CHECK(result.Response.Status == 400);
    CHECK(errorCode(result.Response) == "malformed_target");
  }
  CHECK(server.Handled == 0);
}

TEST_CASE("Unparsable requests get a JSON error and a closed connection",
          "[http][server]") {
  EchoServer server({.MaxHeaderBytes = 500, .MaxBodyBytes = 100});
  struct Case {
    std::string Request;
    std::string Status;
    std::string Code;
  };
  const auto it = GENERATE(values<Case>(
      {{"nonsense\r\n\r\n", "400", "malformed_request"},
       {"GET / HTTP/1.1\r\nNo colon\r\n\r\n", "400", "malformed_request"},
       {"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413",
        "body_too_long"},
       {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: "
        "6\r\n\r\n12345",
        "400", "malformed_request"},
       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
        "malformed_request"},
       {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
            std::string(101, 'x') + "\r\n0\r\n\r\n",
        "413", "body_too_long"},
       {"GET / HTTP/1.1\r\nX-Long: " + std::string(501, 'x') + "\r\n\r\n",
        "431", "headers_too_long"},
       {"GET /" + std::string(500, 'x') + " HTTP/1.1\r\n\r\n", "414",
        "target_too_long"}}));
  CAPTURE(it.Request);
  const std::string answer = server.exchangeRaw(it.Request);
  CHECK(answer.starts_with("HTTP/1.1 " + it.Status + " "));
  CHECK(answer.find("\"code\":\"" + it.Code + "\"") != std::string::npos);
  CHECK(server.Handled == 0);
}

TEST_CASE("The 413 response reaches a caller that is still sending its body",
          "[http][server]") {
  EchoServer server({.MaxBodyBytes = 100});
  const std::string request =
      "POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n";
  const std::string answer =
      server.exchangeRaw(request + std::string(2000000, 'x'));
  CHECK(answer.starts_with("HTTP/1.1 413 "));
  CHECK(server.Handled == 0);
}

TEST_CASE("A malformed request after a pending one gets no response",
          "[http][server]") {
  std::promise<void> disconnected;
  HttpServer server({}, [&](std::shared_ptr<HttpExchange> exchange) {
    HttpExchange &it = *exchange;
    it.onCallerGone([&disconnected, exchange = std::move(exchange)] {
      disconnected.set_value();
    });
  });
  server.start();
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), server.port()});
  asio::write(socket, asio::buffer(std::string(
                          "GET / HTTP/1.1\r\n\r\nnonsense\r\n\r\n")));
  std::string answer;
  asio::error_code ec;
  asio::read(socket, asio::dynamic_buffer(answer), ec);
  CHECK(answer.empty());
  disconnected.get_future().wait();
}

TEST_CASE("Responses to pipelined requests are sent in order",
          "[http][server]") {
  EchoServer server;
  std::string requests;
  for (int i = 0; i < 5; ++i) {
    requests += "POST / HTTP/1.1\r\nContent-Length: 1\r\n";
    requests += (i == 4 ? "Connection: close\r\n\r\n" : "\r\n");
    requests += std::to_string(i);
  }
  const std::string answers = server.exchangeRaw(requests);
  std::size_t at = 0;
  for (int i = 0; i < 5; ++i) {
    at = answers.find("POST " + std::to_string(i), at);
    REQUIRE(at != std::string::npos);
  }
}

TEST_CASE("A truncated response has the full Content-Length",
          "[http][server]") {
  HttpServer server({}, [](const std::shared_ptr<HttpExchange> &exchange) {
    exchange->respondWithFault({200, {}, "0123456789"}, {.Truncate = true});
  });
  server.start();
  Caller caller;
  const HttpCallResult result = caller.call(
      getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/"));
  CHECK(result.Outcome == HttpOutcome::Broken);
}

TEST_CASE("The handler is notified once when its caller resets",
          "[http][server]") {
  std::promise<std::shared_ptr<HttpExchange>> received;
  std::atomic<int> calls = 0;
  std::promise<void> disconnected;
  HttpServer server({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
    exchange->onCallerGone([&] {
      if (++calls == 1) {
        disconnected.set_value();
      }
    });
    received.set_value(exchange);
  });
  server.start();
  asio::io_context loop;
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::address_v4::loopback(), server.port()});
  asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  const std::shared_ptr<HttpExchange> exchange = received.get_future().get();

  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
  disconnected.get_future().wait();

  bool called = false;
  exchange->onCallerGone([&] { called = true; });
  CHECK(called);
  exchange->respond({});
  server.stop();
  CHECK(calls == 1);
}

TEST_CASE("No disconnect is reported after the response", "[http][server]") {
  std::atomic<int> calls = 0;
  std::shared_ptr<HttpExchange> kept;
  {
    HttpServer server({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
      exchange->onCallerGone([&] { ++calls; });
      exchange->respond({200, {}, "first"});
      exchange->respond({200, {}, "second"});
      kept = exchange;
    });
    server.start();
    Caller caller;
    const HttpCallResult result = caller.call(
        getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/"));
    CHECK(result.Response.Body == "first");
  }
  CHECK(calls == 0);
}

TEST_CASE("An exchange outlives its server", "[http][server]") {
  std::promise<std::shared_ptr<HttpExchange>> received;
  Caller caller;
  std::optional<HttpCallResult> result;
  std::shared_ptr<HttpExchange> kept;
  {
    HttpServer server({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
      received.set_value(exchange);
    });
    server.start();
    caller.Client.start(
        getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/"),
        [&](HttpCallResult it) { result = std::move(it); });
    auto arrival = received.get_future();
    caller.runUntil([&] {
      return arrival.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
    kept = arrival.get();
  }
  kept->respond({200, {}, "too late"});
  kept.reset();
  caller.runUntil([&] { return result.has_value(); });
  CHECK(result->Outcome == HttpOutcome::Broken);
}

TEST_CASE("A response sent before the stop is delivered", "[http][server]") {
  std::string body(300000, 'x');
  std::promise<void> answered;
  std::optional<HttpCallResult> result;
  Caller caller;
  HttpServer server({}, [&](const std::shared_ptr<HttpExchange> &exchange) {
    exchange->respond({200, {}, body});
    answered.set_value();
  });
  server.start();
  caller.Client.start(
      getCall("http://127.0.0.1:" + std::to_string(server.port()) + "/"),
      [&](HttpCallResult it) { result = std::move(it); });
  std::thread stopper([&] {
    answered.get_future().wait();
    server.stop();
  });
  caller.runUntil([&] { return result.has_value(); });
  stopper.join();
  CHECK(result->Outcome == HttpOutcome::Answered);
  CHECK(result->Response.Body == body);
}

TEST_CASE("A draining server closes connections after responses",
          "[http][server]") {
  EchoServer server;
  server.Server.closeConnectionsAfterAnswers();
  Caller caller;
  const HttpCallResult result = caller.call(getCall(server.url() + "/"));
  CHECK(result.Outcome == HttpOutcome::Answered);
  CHECK(result.Response.Headers.find("Connection") == "close");
}

TEST_CASE("Starting on a port in use fails", "[http][server]") {
  EchoServer first;
  HttpServer second({.Port = first.Server.port()}, [](const auto &) {});
  CHECK_THROWS_AS(second.start(), std::runtime_error);
}
