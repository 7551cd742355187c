#include "masticwinch/http/http_server.hpp"
#include "masticwinch/load/load_generator.hpp"
#include "masticwinch/load/load_report.hpp"
#include "masticwinch/settings/settings_error.hpp"

#include <asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <mutex>
#include <set>

using namespace masticwinch;

namespace {

/// HTTP server with a handler supplied by the test.
class TestTarget {
public:
  explicit TestTarget(HttpHandler handler) : Server({}, std::move(handler)) {
    Server.start();
  }
  ~TestTarget() { Server.stop(); }
  TestTarget(const TestTarget &) = delete;
  TestTarget &operator=(const TestTarget &) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server.port());
  }

private:
  HttpServer Server;
};

LoadPlan makePlan(double rate) {
  LoadStream stream;
  stream.Name = "lookups";
  stream.Path = "/x";
  stream.BodyBytes = 64;
  stream.Timeout = Milliseconds(20000);
  stream.ResendAfter = Milliseconds(1);
  stream.Phases = {{ArrivalKind::Constant, 0.1, rate, rate}};
  return {"test", 1, {stream}};
}

LoadResult run(LoadPlan plan, std::vector<std::string> targets) {
  const OperatingSystemClock clock;
  asio::io_context context;
  LoadGenerator generator(context, clock, std::move(plan), std::move(targets));
  generator.start();
  context.run();
  return generator.takeResult();
}

HttpResponse echo(const HttpRequest &request) {
  return {200, {}, request.Body};
}

} // namespace

TEST_CASE("Requests are sent on time while earlier ones are unanswered",
          "[load]") {
  constexpr std::size_t Count = 20;
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpExchange>> held;
  TestTarget target([&](std::shared_ptr<HttpExchange> exchange) {
    std::lock_guard lock(mutex);
    held.push_back(std::move(exchange));
    if (held.size() == Count) {
      for (const auto &it : held) {
        it->respond(echo(it->request()));
      }
    }
  });
  const LoadResult result = run(makePlan(200), {target.url()});
  CHECK(result.Streams[0]->sent() == Count);
  CHECK(result.Streams[0]->ended(LoadOutcome::Answered) == Count);
  CHECK(result.Streams[0]->latency().count() == Count);
  held.clear();
}

TEST_CASE("A resend goes to the next target with the same key", "[load]") {
  std::mutex mutex;
  std::set<std::string> failedKeys;
  std::set<std::string> answeredKeys;
  const auto keyOf = [](const std::shared_ptr<HttpExchange> &exchange) {
    return std::string(
        exchange->request().Headers.find("Idempotency-Key").value());
  };
  TestTarget broken([&](std::shared_ptr<HttpExchange> exchange) {
    std::lock_guard lock(mutex);
    failedKeys.insert(keyOf(exchange));
    exchange->respond({500, {}, ""});
  });
  TestTarget working([&](std::shared_ptr<HttpExchange> exchange) {
    std::lock_guard lock(mutex);
    answeredKeys.insert(keyOf(exchange));
    exchange->respond(echo(exchange->request()));
  });
  LoadPlan plan = makePlan(10);
  plan.Streams[0].IdempotencyKey = true;
  plan.Streams[0].Resends = 1;
  const LoadResult result = run(plan, {broken.url(), working.url()});
  CHECK(result.Streams[0]->sent() == 1);
  CHECK(result.Streams[0]->resends() == 1);
  CHECK(result.Streams[0]->ended(LoadOutcome::Answered) == 1);
  CHECK(failedKeys == answeredKeys);
}

TEST_CASE("Wrong answers are detected and reported", "[load]") {
  TestTarget target([](std::shared_ptr<HttpExchange> exchange) {
    exchange->respond({200, {}, "somebody else's"});
  });
  const LoadResult result = run(makePlan(50), {target.url()});
  CHECK(result.Streams[0]->ended(LoadOutcome::WrongAnswer) == 5);
  const nlohmann::ordered_json json = result.json();
  CHECK(json["streams"][0]["wrong_answer"] == 5);
  CHECK(json["streams"][0]["answered"] == 0);
  const std::string page = renderLoadReport(result);
  CHECK(page.find("<polyline") != std::string::npos);
  CHECK(page.find("NaN") == std::string::npos);
  CHECK(page.find("src=") == std::string::npos);
}

TEST_CASE("All plans in plans/ are valid", "[load]") {
  const std::string folder = std::string(MASTICWINCH_SOURCE_DIR) + "/plans";
  int count = 0;
  for (const auto &it : std::filesystem::directory_iterator(folder)) {
    INFO(it.path());
    CHECK(loadPlanFromFile(it.path().string()));
    ++count;
  }
  CHECK(count >= 4);
}

TEST_CASE("All errors in a plan are reported", "[load]") {
  const std::string file =
      std::string(MASTICWINCH_SOURCE_DIR) + "/tests/load/wrong-plan.json";
  boost::leaf::try_handle_all(
      [&]() -> Result<void> {
        Result<LoadPlan> plan = loadPlanFromFile(file);
        CHECK_FALSE(plan);
        return plan ? Result<void>() : Result<void>(plan.error());
      },
      [](const SettingsError &error) {
        std::vector<std::string> paths;
        for (const SettingsProblem &it : error.Problems) {
          paths.push_back(it.KeyPath);
        }
        CHECK(paths == std::vector<std::string>{
                           "/streams/0/path", "/streams/0/timeout_ms",
                           "/streams/0/phases/0/arrivals",
                           "/streams/0/phases/0/from_per_minute",
                           "/streams/1/path", "/streams/1/phases",
                           "/streams/1/colour"});
      },
      [] { FAIL("no settings error"); });
}
