#pragma once

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
  TrafficPool(asio::io_context &control, std::size_t threads);
  ~TrafficPool();
  TrafficPool(const TrafficPool &) = delete;
  TrafficPool &operator=(const TrafficPool &) = delete;

  /// Starts a call under an id that no running call uses. `done` is called
  /// once.
  void start(TrafficCallId id, HttpCall call, HttpCallDone done);

  /// Cancels a call and closes its connection; its `done` is called with
  /// `Cancelled`. Does nothing for a call that has ended.
  void cancel(TrafficCallId id);

  /// Stops the threads; `done` is not called for calls that still run.
  void stop();

private:
  struct ClientThread;

  ClientThread &threadOf(TrafficCallId id);

  asio::io_context &Control;
  std::vector<std::unique_ptr<ClientThread>> Threads;
};

} // namespace masticwinch::upstreams
