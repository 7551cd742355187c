#pragma once

#include <asio/signal_set.hpp>

#include <functional>

namespace masticwinch {

/// Turns SIGTERM and SIGINT into calls: the first one asks for a graceful stop,
/// every further one for a stop at once.
class StopSignals {
public:
  StopSignals(asio::io_context &loop, std::function<void()> stop,
              std::function<void()> stopAtOnce);

private:
  void wait();

  asio::signal_set Signals;
  std::function<void()> Stop;
  std::function<void()> StopAtOnce;
};

} // namespace masticwinch
