#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch {

/// Settings that runner and worker stand-ins share.
struct StandInSettings {
  std::string Name;
  std::string DataCenter;
  std::string Rack;
  std::string EventsFile;
  /// File to which executions or tasks are recorded.
  std::string RecordFile;
  /// Endpoint for requests or leases.
  programs::HttpSettings Listen;
  /// Endpoint for health checks and statistics.
  programs::HttpSettings Operators;
  /// Base URLs of entry VMs, used round-robin.
  std::vector<std::string> Entries;
  Milliseconds Renew{1000};
};

/// Reads the settings that runner and worker stand-ins share. `recordKey` is
/// the key of the file to which executions or tasks are recorded.
StandInSettings readStandInSettings(SettingsReader &reader,
                                    const std::string &recordKey);

} // namespace masticwinch
