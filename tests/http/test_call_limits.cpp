#include "masticwinch/http/http_client.hpp"

#include <catch2/catch.hpp>

#include "tests/http/caller.hpp"
#include "tests/http/raw_server.hpp"
#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

using namespace masticwinch;
using testing::Caller;
using testing::getCall;
using testing::RawServer;

namespace {

const std::string EmptyResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Counts connections, and answers each request after a delay.
class CountingServer {
public:
  explicit CountingServer(Milliseconds delay)
      : Server([this, delay](asio::ip::tcp::socket &socket) {
          ++Accepted;
          Most = std::max<int>(Most, ++Open);
          while (!RawServer::readHeaders(socket).empty()) {
            std::this_thread::sleep_for(delay);
            RawServer::write(socket, EmptyResponse);
          }
          --Open;
        }) {}

  HttpCall call(std::uint32_t limit) const {
    HttpCall call = getCall(Server.url());
    call.MaxCallsToHost = limit;
    call.MaxQueueTime = std::chrono::minutes(1);
    return call;
  }

  std::atomic<int> Accepted = 0;
  std::atomic<int> Open = 0;
  std::atomic<int> Most = 0;
  RawServer Server;
};

/// Starts the calls and returns their outcomes in the order in which they
/// ended.
std::vector<HttpOutcome> outcomesOf(Caller &caller,
                                    const std::vector<HttpCall> &calls) {
  std::vector<HttpOutcome> outcomes;
  for (const HttpCall &it : calls) {
    caller.Client.start(
        it, [&](const HttpCallResult &r) { outcomes.push_back(r.Outcome); });
  }
  caller.runUntil([&] { return outcomes.size() == calls.size(); });
  return outcomes;
}

} // namespace

// Guards against a client that opens a connection for each of its calls, and so
// keeps all that a runner takes away from the next leader.
TEST_CASE("Many calls at the same time use no more connections than the limit",
          "[http][client]") {
  CountingServer server(Milliseconds(5));
  Caller caller;
  const std::vector<HttpCall> calls(30, server.call(3));
  const auto outcomes = outcomesOf(caller, calls);
  CHECK(std::count(outcomes.begin(), outcomes.end(), HttpOutcome::Answered) ==
        30);
  CHECK(server.Most == 3);
  CHECK(server.Accepted == 3);
  CHECK(caller.Client.waitingCalls() == 0);
}

TEST_CASE("Calls to other hosts don't wait for those to a busy one",
          "[http][client]") {
  CountingServer busy(Milliseconds(500));
  CountingServer idle(Milliseconds(0));
  Caller caller;
  int answered = 0;
  caller.Client.start(busy.call(1), [](const HttpCallResult &) {});
  caller.Client.start(busy.call(1), [](const HttpCallResult &) {});
  caller.Client.start(idle.call(1),
                      [&](const HttpCallResult &) { ++answered; });
  caller.runUntil([&] { return answered == 1; });
  CHECK(caller.Client.waitingCalls() == 1);
}

TEST_CASE(
    "A call with a higher limit starts beside those that fill a lower one",
    "[http][client]") {
  CountingServer server(Milliseconds(100));
  Caller caller;
  std::vector<int> ended;
  for (int i = 0; i < 3; ++i) {
    caller.Client.start(server.call(1),
                        [&, i](const HttpCallResult &) { ended.push_back(i); });
  }
  caller.Client.start(server.call(2),
                      [&](const HttpCallResult &) { ended.push_back(3); });
  caller.runUntil([&] { return ended.size() == 4; });
  CHECK(std::find(ended.begin(), ended.end(), 3) - ended.begin() < 2);
}

TEST_CASE("A call that waits too long for others to its host was not sent",
          "[http][client]") {
  CountingServer server(Milliseconds(400));
  Caller caller;
  HttpCall late = server.call(1);
  late.MaxQueueTime = Milliseconds(10);
  const auto outcomes = outcomesOf(caller, {server.call(1), late});
  CHECK(outcomes ==
        std::vector{HttpOutcome::NoConnection, HttpOutcome::Answered});
  CHECK(caller.Client.callsWithoutConnection() == 1);
}

TEST_CASE("A waiting call can be cancelled", "[http][client]") {
  CountingServer server(Milliseconds(50));
  Caller caller;
  std::vector<HttpCallResult> results;
  const auto add = [&](const HttpCallResult &it) { results.push_back(it); };
  caller.Client.start(server.call(1), add);
  caller.Client.cancel(caller.Client.start(server.call(1), add));
  caller.runUntil([&] { return results.size() == 2; });
  CHECK(results[0].Outcome == HttpOutcome::Cancelled);
  CHECK_FALSE(results[0].MayHaveBeenSent);
  CHECK(results[1].Outcome == HttpOutcome::Answered);
  CHECK(server.Accepted == 1);
}

TEST_CASE("Calls that fail make room for those that wait", "[http][client]") {
  std::atomic<int> accepted = 0;
  // Closes each connection at once, as a server does that takes no more.
  RawServer server([&](asio::ip::tcp::socket &) { ++accepted; });
  Caller caller;
  HttpCall call = getCall(server.url());
  call.MaxCallsToHost = 2;
  call.MaxQueueTime = std::chrono::minutes(1);
  const auto outcomes = outcomesOf(caller, std::vector<HttpCall>(10, call));
  CHECK(std::count(outcomes.begin(), outcomes.end(), HttpOutcome::Broken) ==
        10);
}

// Guards against a process without calls, such as a leader that was deposed,
// keeping the connections of its peers.
TEST_CASE("Idle connections are closed without a further call",
          "[http][client]") {
  CountingServer server(Milliseconds(0));
  Caller caller;
  outcomesOf(caller, std::vector<HttpCall>(4, server.call(2)));
  REQUIRE(server.Accepted == 2);
  caller.Client.closeIdleConnections(std::chrono::minutes(1));
  CHECK(caller.Client.openConnections() == 2);
  caller.Client.closeIdleConnections(Milliseconds(0));
  CHECK(caller.Client.openConnections() == 0);
  while (server.Open > 0) {
    std::this_thread::yield();
  }
  CHECK(outcomesOf(caller, {server.call(2)}) ==
        std::vector{HttpOutcome::Answered});
}

TEST_CASE("A connection that a call uses isn't closed as idle",
          "[http][client]") {
  CountingServer server(Milliseconds(100));
  Caller caller;
  outcomesOf(caller, {server.call(1)});
  std::vector<HttpOutcome> outcomes;
  caller.Client.start(server.call(1), [&](const HttpCallResult &it) {
    outcomes.push_back(it.Outcome);
  });
  caller.Loop.restart();
  caller.Loop.run_for(Milliseconds(30));
  caller.Client.closeIdleConnections(Milliseconds(0));
  caller.runUntil([&] { return !outcomes.empty(); });
  CHECK(outcomes == std::vector{HttpOutcome::Answered});
  CHECK(server.Accepted == 1);
}
