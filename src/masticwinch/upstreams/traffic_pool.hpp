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

/// Threads that send requests to upstreams, each with an event loop and an HTTP
/// client of its own. All functions and callbacks run on the control thread.
class TrafficPool {
public:
  TrafficPool(asio::io_context &control, std::size_t threads);
  ~TrafficPool();
  TrafficPool(const TrafficPool &) = delete;
  TrafficPool &operator=(const TrafficPool &) = delete;

  /// Starts a call under an id that no running call has. `done` is called once.
  void start(TrafficCallId id, HttpCall call, HttpCallDone done);

  /// Ends a call and closes its connection; it is done with `Cancelled`. Does
  /// nothing for a call that has ended.
  void cancel(TrafficCallId id);

  /// Ends the threads; calls that still run are not done.
  void stop();

private:
  struct ClientThread;

  ClientThread &threadOf(TrafficCallId id);

  asio::io_context &Control;
  std::vector<std::unique_ptr<ClientThread>> Threads;
};

} // namespace masticwinch::upstreams
