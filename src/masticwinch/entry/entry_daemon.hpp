#pragma once

#include "masticwinch/entry/entry_settings.hpp"
#include "masticwinch/programs/exit_code.hpp"

#include <memory>

namespace masticwinch::entry {

/// Daemon of an entry VM: accepts callers' requests and the announcements of
/// upstreams and workers.
class EntryDaemon {
public:
  explicit EntryDaemon(const EntrySettings &settings);
  ~EntryDaemon();

  /// Runs until a stop signal; returns the exit code.
  ExitCode run();

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace masticwinch::entry
