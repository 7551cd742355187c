#include "masticwinch/http/http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"
#include <future>

using namespace masticwinch;
using testing::eventually;
using testing::RawCaller;

namespace {

constexpr std::string_view Request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Answer = "\r\n\r\nanswer";
constexpr std::chrono::milliseconds Moment{300};
constexpr std::chrono::milliseconds Limit{3000};

/// Server whose handler hands the exchange to the test.
struct HeldRequest {
  HeldRequest()
      : Server({}, [this](const std::shared_ptr<HttpExchange> &it) {
          it->onCallerGone([this] { Gone.set_value(); });
          Arrival.set_value(it);
        }) {
    Server.start();
  }

  std::promise<void> Gone;
  std::promise<std::shared_ptr<HttpExchange>> Arrival;
  HttpServer Server;
};

} // namespace

TEST_CASE("A caller that ends its sending half gets its answer",
          "[http][server]") {
  HeldRequest held;
  RawCaller caller(held.Server.port());
  caller.send(Request);
  caller.endSending();
  const std::shared_ptr<HttpExchange> exchange =
      held.Arrival.get_future().get();
  CHECK_FALSE(caller.isClosedWithin(Moment));
  exchange->respond({200, {}, "answer"});
  CHECK(caller.receives(Answer));
  CHECK(caller.isClosedWithin(Limit));
  CHECK(held.Gone.get_future().wait_for(Moment) == std::future_status::timeout);
  CHECK(eventually([&] { return held.Server.connections().Open == 0; }));
}

TEST_CASE(
    "All whole requests before the end of a caller's sending are answered",
    "[http][server]") {
  constexpr int Requests = 5;
  const std::string_view rest = GENERATE(as<std::string_view>(), "", "GET /a");
  HttpServer server({}, [](const std::shared_ptr<HttpExchange> &exchange) {
    std::thread([exchange] {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      exchange->respond({200, {}, "answer"});
    }).detach();
  });
  server.start();
  RawCaller caller(server.port());
  for (int i = 0; i < Requests; ++i) {
    caller.send(Request);
  }
  caller.send(rest);
  caller.endSending();
  CHECK(caller.isClosedWithin(Limit));
  int answers = 0;
  for (std::size_t at = caller.received().find(Answer); at != std::string::npos;
       at = caller.received().find(Answer, at + 1)) {
    ++answers;
  }
  CHECK(answers == Requests);
}

TEST_CASE("A caller that resets its connection after its sending half is gone",
          "[http][server]") {
  HeldRequest held;
  RawCaller caller(held.Server.port());
  caller.send(Request);
  caller.endSending();
  const std::shared_ptr<HttpExchange> exchange =
      held.Arrival.get_future().get();
  std::this_thread::sleep_for(Moment);
  caller.reset();
  CHECK(held.Gone.get_future().wait_for(Limit) == std::future_status::ready);
}

TEST_CASE("A request that ends before it is whole closes the connection",
          "[http][server]") {
  HeldRequest held;
  RawCaller caller(held.Server.port());
  caller.send("GET /a HTTP/1.1\r\nHost");
  caller.endSending();
  CHECK(caller.isClosedWithin(Limit));
  CHECK(caller.received().empty());
}

TEST_CASE("A server stops while a caller with an ended sending half waits",
          "[http][server]") {
  HeldRequest held;
  RawCaller caller(held.Server.port());
  caller.send(Request);
  caller.endSending();
  const std::shared_ptr<HttpExchange> exchange =
      held.Arrival.get_future().get();
  std::this_thread::sleep_for(Moment);
  held.Server.stop();
  CHECK(caller.isClosedWithin(Limit));
  exchange->respond({200, {}, "too late"});
}
