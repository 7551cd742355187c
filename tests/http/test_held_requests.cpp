#include "masticwinch/http/http_server.hpp"

#include <catch2/catch.hpp>

#include "tests/http/raw_caller.hpp"
#include <list>
#include <mutex>
#include <vector>

using namespace masticwinch;
using testing::eventually;
using testing::RawCaller;

namespace {

constexpr std::size_t Limit = 64UL * 1024;
constexpr std::string_view Request = "GET /now HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view Answer = "\r\n\r\nanswer";
constexpr std::chrono::milliseconds Moment{300};

HttpServerOptions limited() {
  HttpServerOptions options;
  options.MaxHeldBytes = Limit;
  return options;
}

/// The head of a request whose body has the given length, and a part of it.
std::string requestWithBody(const std::string &path, std::size_t length,
                            std::size_t sent) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + std::string(sent, 'x');
}

/// Server that keeps requests for `/keep` without a response and answers others
/// at once.
class KeepingServer {
public:
  KeepingServer()
      : Server(limited(), [this](const std::shared_ptr<HttpExchange> &it) {
          if (it->request().Path == "/keep") {
            const std::lock_guard<std::mutex> lock(Mutex);
            Kept.push_back(it);
            return;
          }
          const bool large = it->request().Path == "/large";
          it->respond(
              {200, {}, large ? std::string(Limit / 2, 'x') : "answer"});
        }) {
    Server.start();
  }

  std::size_t keptCount() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Kept.size();
  }

  void answerKept() {
    const std::lock_guard<std::mutex> lock(Mutex);
    for (const std::shared_ptr<HttpExchange> &it : Kept) {
      it->respond({200, {}, "answer"});
    }
    Kept.clear();
  }

  bool answers() {
    RawCaller caller(Server.port());
    caller.send(Request);
    return caller.receives(Answer);
  }

private:
  std::mutex Mutex;
  std::vector<std::shared_ptr<HttpExchange>> Kept;

public:
  HttpServer Server;
};

} // namespace

TEST_CASE("The oldest unfinished request gives way when connections hold too "
          "much",
          "[http]") {
  KeepingServer cell;
  RawCaller oldest(cell.Server.port());
  oldest.send(requestWithBody("/now", 20'000, 12'000));
  REQUIRE(eventually(
      [&] { return cell.Server.connections().RequestBytes > 24'000; }));
  RawCaller next(cell.Server.port());
  next.send(requestWithBody("/now", 12'000, 11'999));
  REQUIRE(eventually(
      [&] { return cell.Server.connections().RequestBytes > 47'000; }));
  RawCaller last(cell.Server.port());
  last.send(requestWithBody("/now", 12'000, 11'999));
  CHECK(oldest.receives("HTTP/1.1 503 "));
  CHECK(oldest.receives("memory_used_up"));
  CHECK(oldest.received().find("Retry-After: 1") != std::string::npos);
  CHECK(oldest.isClosedWithin(Moment));
  next.send("x");
  CHECK(next.receives(Answer));
  last.send("x");
  CHECK(last.receives(Answer));
  CHECK(cell.Server.connections().ClosedForMemory == 1);
  CHECK(
      eventually([&] { return cell.Server.connections().RequestBytes == 0; }));
}

TEST_CASE("A request is refused if those that are handled hold the limit",
          "[http]") {
  KeepingServer cell;
  std::list<RawCaller> callers;
  for (std::size_t i = 0; i < 2; ++i) {
    callers.emplace_back(cell.Server.port());
    callers.back().send(requestWithBody("/keep", 10'000, 10'000));
    REQUIRE(eventually([&] { return cell.keptCount() == i + 1; }));
  }
  RawCaller refused(cell.Server.port());
  refused.send(requestWithBody("/keep", 10'000, 10'000));
  CHECK(refused.receives("memory_used_up"));
  CHECK(cell.keptCount() == 2);
  cell.answerKept();
  for (RawCaller &it : callers) {
    CHECK(it.receives(Answer));
  }
  CHECK(
      eventually([&] { return cell.Server.connections().RequestBytes == 0; }));
  CHECK(cell.answers());
}

TEST_CASE("A request whose caller has gone counts while it is handled",
          "[http]") {
  KeepingServer cell;
  {
    RawCaller gone(cell.Server.port());
    gone.send(requestWithBody("/keep", 10'000, 10'000));
    REQUIRE(eventually([&] { return cell.keptCount() == 1; }));
    gone.reset();
  }
  CHECK(eventually([&] { return cell.Server.connections().Open == 0; }));
  CHECK(cell.Server.connections().RequestBytes > 10'000);
  cell.answerKept();
  CHECK(
      eventually([&] { return cell.Server.connections().RequestBytes == 0; }));
}

TEST_CASE("A request that exceeds the limit by itself gets 413", "[http]") {
  KeepingServer cell;
  RawCaller caller(cell.Server.port());
  caller.send(requestWithBody("/now", 500'000, 100'000));
  CHECK(caller.receives("HTTP/1.1 413 "));
  CHECK(cell.answers());
}

TEST_CASE("An unread response gives way when connections hold too much",
          "[http]") {
  KeepingServer cell;
  std::list<RawCaller> callers;
  for (int i = 0; i < 400; ++i) {
    callers.emplace_back(cell.Server.port());
    for (int n = 0; n < 200; ++n) {
      callers.back().send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    if (cell.Server.connections().ClosedForMemory > 0) {
      break;
    }
  }
  CHECK(cell.Server.connections().ClosedForMemory > 0);
  CHECK(cell.answers());
}

TEST_CASE("A response isn't taken for that to an earlier request", "[http]") {
  KeepingServer cell;
  RawCaller caller(cell.Server.port());
  caller.send(requestWithBody("/keep", 10, 10));
  REQUIRE(eventually([&] { return cell.keptCount() == 1; }));
  caller.send(requestWithBody("/now", 500'000, 100'000));
  CHECK(caller.isClosedWithin(std::chrono::seconds(3)));
  CHECK(caller.received().empty());
  cell.answerKept();
}
