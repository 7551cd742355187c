#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/result.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch::entry {

/// Settings of an entry VM's daemon; docs/settings.md describes the file.
struct EntrySettings {
  programs::ProcessSettings Process;
  std::vector<programs::PeerSettings> Controls;
  programs::HttpSettings Callers;
  programs::HttpSettings Operators;
  /// Time between hellos to the leader.
  Milliseconds HelloInterval{500};
  /// Time for which a stopping process still accepts requests, so that the
  /// balancer can notice the failing health check.
  Milliseconds BalancerDelay{500};
  /// Limit of the time for requests in progress to end after `BalancerDelay`.
  Milliseconds DrainTimeout{330'000};
  /// Threads that send requests to upstreams.
  std::size_t TrafficThreads = 2;
};

/// Reads and checks a settings file. Errors: `SettingsError`.
Result<EntrySettings> loadEntrySettings(const std::string &file);

} // namespace masticwinch::entry
