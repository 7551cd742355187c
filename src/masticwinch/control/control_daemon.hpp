#pragma once

#include "masticwinch/control/control_settings.hpp"
#include "masticwinch/programs/exit_code.hpp"

#include <memory>

namespace masticwinch::control {

/// One control process: the log, the replicated state and the servers around
/// them.
class ControlDaemon {
public:
  explicit ControlDaemon(const ControlSettings &settings);
  ~ControlDaemon();

  /// Runs until a stop signal; returns the exit code.
  ExitCode run();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch::control
