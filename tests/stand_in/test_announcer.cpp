#include "masticwinch/events/event_log.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/stand_in/announcer.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <mutex>

using namespace masticwinch;

namespace {

/// Fake entry VM that answers with a given status and records the requests.
class FakeEntry {
public:
  explicit FakeEntry(std::uint16_t status)
      : Status(status),
        Server({}, [this](const std::shared_ptr<HttpExchange> &exchange) {
          {
            const std::lock_guard<std::mutex> lock(Mutex);
            Bodies.push_back(nlohmann::json::parse(exchange->request().Body));
            Paths.push_back(exchange->request().Path);
          }
          exchange->respond(jsonResponse(Status, "{}"));
        }) {
    Server.start();
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server.port());
  }

  std::vector<std::string> paths() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Paths;
  }

  std::vector<nlohmann::json> bodies() {
    const std::lock_guard<std::mutex> lock(Mutex);
    return Bodies;
  }

  std::atomic<std::uint16_t> Status;

private:
  std::mutex Mutex;
  std::vector<nlohmann::json> Bodies;
  std::vector<std::string> Paths;
  HttpServer Server;
};

struct Setup {
  OperatingSystemClock Clock;
  EventLog Events{{.Process = "test", .File = "/dev/null"}, Clock};
  asio::io_context Loop;

  AnnouncerOptions options(std::vector<std::string> entries) const {
    return {std::move(entries),
            "/v1/upstreams/r",
            {{"slots", 8}},
            Milliseconds(10)};
  }

  template <class Condition> void runUntil(Condition condition) {
    while (!condition()) {
      Loop.run_one();
    }
  }
};

} // namespace

TEST_CASE("Announcements are sent to the entry VMs round-robin",
          "[stand-in][announcer]") {
  FakeEntry first(200);
  FakeEntry second(200);
  Setup setup;
  Announcer announcer(setup.Loop, setup.options({first.url(), second.url()}),
                      setup.Clock, setup.Events);
  announcer.start();
  setup.runUntil(
      [&] { return first.paths().size() >= 2 && second.paths().size() >= 2; });
  CHECK(first.paths().front() == "/v1/upstreams/r/announce");
  CHECK(second.bodies().front()["slots"] == 8);
  CHECK(first.bodies()[0] == second.bodies()[0]);
}

TEST_CASE("An announcer that is superseded changes to a later incarnation",
          "[stand-in][announcer]") {
  FakeEntry entry(409);
  Setup setup;
  Announcer announcer(setup.Loop, setup.options({entry.url()}), setup.Clock,
                      setup.Events);
  announcer.start();
  setup.runUntil([&] { return entry.bodies().size() >= 2; });
  CHECK(entry.bodies()[0]["incarnation"] < entry.bodies()[1]["incarnation"]);
}

TEST_CASE("A leave is repeated until an entry VM accepts it",
          "[stand-in][announcer]") {
  FakeEntry rejecting(503);
  FakeEntry accepting(200);
  Setup setup;
  Announcer announcer(setup.Loop,
                      setup.options({rejecting.url(), accepting.url()}),
                      setup.Clock, setup.Events);
  bool left = false;
  announcer.leave([&] { left = true; });
  setup.runUntil([&] { return left; });
  CHECK(rejecting.paths() == std::vector<std::string>{"/v1/upstreams/r/leave"});
  CHECK(accepting.paths() == std::vector<std::string>{"/v1/upstreams/r/leave"});
  CHECK(accepting.bodies()[0]["incarnation"] == announcer.incarnation());
}
