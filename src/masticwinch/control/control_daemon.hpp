#pragma once

#include "masticwinch/control/control_settings.hpp"
#include "masticwinch/programs/exit_code.hpp"

#include <memory>

namespace masticwinch::control {

/// A control process: the replicated log, the cell state, and the servers on
/// top of them.
class ControlDaemon {
public:
  explicit ControlDaemon(const ControlSettings &settings);
  ~ControlDaemon();

  /// Runs until a stop signal arrives; returns the exit code.
  ExitCode run();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch::control
