#include "masticwinch/upstreams/traffic_pool.hpp"

#include <catch2/catch.hpp>

#include "tests/http/caller.hpp"
#include "tests/http/raw_server.hpp"
#include <atomic>

using namespace masticwinch;
using testing::getCall;
using testing::RawServer;

namespace {

/// A clock that stands still and jumps forward after its first reading, as if
/// the process had been suspended between the two.
class SuspendedClock final : public Clock {
public:
  explicit SuspendedClock(Milliseconds jump) : Jump(jump) {}

  SteadyTime now() const override {
    return Readings++ == 0 ? SteadyTime{} : SteadyTime{} + Jump;
  }
  SystemTime systemNow() const override { return {}; }

private:
  Milliseconds Jump;
  mutable std::atomic<int> Readings = 0;
};

/// Result of a call and the number of requests that the server received.
struct Outcome {
  HttpCallResult Result;
  int Received = 0;
};

/// Makes a call through a pool whose thread reaches it after `delay`.
Outcome callAfter(Milliseconds delay, Milliseconds timeout,
                  Milliseconds startBefore) {
  std::atomic<int> received = 0;
  RawServer server([&](asio::ip::tcp::socket &socket) {
    if (!RawServer::readHeaders(socket).empty()) {
      ++received;
      RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  asio::io_context control;
  const SuspendedClock clock(delay);
  upstreams::TrafficPool pool(control, clock, 1);
  HttpCall call = getCall(server.url());
  call.Timeout = timeout;
  std::optional<HttpCallResult> result;
  pool.start(1, std::move(call), SteadyTime{} + startBefore,
             [&](HttpCallResult it) { result = std::move(it); });
  const auto guard = asio::make_work_guard(control);
  while (!result) {
    control.run_one();
  }
  pool.stop();
  return {std::move(*result), received};
}

constexpr Milliseconds LongTime{20'000};

} // namespace

TEST_CASE("A call in time is sent by the pool", "[upstreams][traffic]") {
  const Outcome outcome =
      callAfter(Milliseconds(10), LongTime, Milliseconds(11));
  CHECK(outcome.Result.Outcome == HttpOutcome::Answered);
  CHECK(outcome.Received == 1);
}

// An entry VM was suspended between the decision to dispatch and the thread
// that sends. When it woke, the slot's reservation at the owner had ended and
// the upstream got one request more than it has slots.
TEST_CASE("A call that its thread reaches after the slot's lease isn't sent",
          "[upstreams][traffic]") {
  const Outcome outcome =
      callAfter(Milliseconds(3000), LongTime, Milliseconds(3000));
  CHECK(outcome.Result.Outcome == HttpOutcome::NotSent);
  CHECK_FALSE(outcome.Result.MayHaveBeenSent);
  CHECK(outcome.Received == 0);
}

TEST_CASE("A call that its thread reaches after its timeout isn't sent",
          "[upstreams][traffic]") {
  const Outcome outcome =
      callAfter(Milliseconds(5000), Milliseconds(5000), LongTime);
  CHECK(outcome.Result.Outcome == HttpOutcome::NotSent);
  CHECK(outcome.Received == 0);
}
