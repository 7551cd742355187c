#include "masticwinch/programs/stop_signals.hpp"

#include <csignal>

namespace masticwinch {

StopSignals::StopSignals(asio::io_context &loop, std::function<void()> stop,
                         std::function<void()> stopImmediately)
    : Signals(loop, SIGTERM, SIGINT), Stop(std::move(stop)),
      StopImmediately(std::move(stopImmediately)) {
  std::signal(SIGPIPE, SIG_IGN);
  wait();
}

void StopSignals::wait() {
  Signals.async_wait([this](const std::error_code &ec, int) {
    if (ec) {
      return;
    }
    if (Stop) {
      std::exchange(Stop, nullptr)();
    } else {
      StopImmediately();
    }
    wait();
  });
}

} // namespace masticwinch
