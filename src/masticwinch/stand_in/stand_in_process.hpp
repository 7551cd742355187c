#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/programs/exit_code.hpp"
#include "masticwinch/programs/incarnation.hpp"
#include "masticwinch/programs/stop_signals.hpp"

#include <asio/io_context.hpp>

#include <cstdio>
#include <stdexcept>
#include <string>

namespace masticwinch {

/// Runs a stand-in until a stop signal arrives. `StandIn` is constructed from
/// an event loop, its settings, a clock and an event log.
template <class StandIn, class Settings>
ExitCode runStandIn(Settings settings) {
  const OperatingSystemClock clock;
  EventLog events({.Process = settings.Common.Name,
                   .Incarnation = programs::newIncarnation(clock),
                   .File = settings.Common.EventsFile},
                  clock);
  try {
    asio::io_context loop;
    StandIn standIn(loop, std::move(settings), clock, events);
    StopSignals signals(
        loop, [&] { standIn.stop([&] { loop.stop(); }); },
        [&] { loop.stop(); });
    standIn.start();
    const auto work = asio::make_work_guard(loop);
    loop.run();
    return ExitCode::Success;
  } catch (const std::exception &ex) {
    std::fprintf(stderr, "%s\n", ex.what());
    return ExitCode::Failure;
  }
}

} // namespace masticwinch
