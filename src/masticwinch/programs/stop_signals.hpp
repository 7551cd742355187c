#pragma once

#include <asio/signal_set.hpp>

#include <functional>

namespace masticwinch {

/// Handles SIGTERM and SIGINT: the first signal starts a graceful stop, each
/// further one an immediate stop.
class StopSignals {
public:
  StopSignals(asio::io_context &loop, std::function<void()> stop,
              std::function<void()> stopImmediately);

private:
  void wait();

  asio::signal_set Signals;
  std::function<void()> Stop;
  std::function<void()> StopImmediately;
};

} // namespace masticwinch
