#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/http/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace masticwinch::upstreams {

/// Identifies a call of the pool.
using TrafficCallId = std::uint64_t;

/// A pool of threads that send requests to upstreams, each with its own event
/// loop and HTTP client. All functions and callbacks run on the control thread.
class TrafficPool {
public:
  /// The clock is read on all threads.
  TrafficPool(asio::io_context &control, const Clock &clock,
              std::size_t threads);
  ~TrafficPool();
  TrafficPool(const TrafficPool &) = delete;
  TrafficPool &operator=(const TrafficPool &) = delete;

  /// Starts a call under an id that no running call uses. `done` is called
  /// once. The call's timeout counts from now. A call that its thread reaches
  /// only at `startBefore` or after its timeout, because the thread was busy or
  /// the process was suspended, ends as `NotSent`.
  void start(TrafficCallId id, HttpCall call, SteadyTime startBefore,
             HttpCallDone done);

  /// Cancels a call and closes its connection; its `done` is called with
  /// `Cancelled`. Does nothing for a call that has ended.
  void cancel(TrafficCallId id);

  /// Stops the threads; `done` is not called for calls that still run.
  void stop();

private:
  struct ClientThread;

  ClientThread &threadOf(TrafficCallId id);

  asio::io_context &Control;
  const Clock &Time;
  std::vector<std::unique_ptr<ClientThread>> Threads;
};

} // namespace masticwinch::upstreams
