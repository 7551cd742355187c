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
  /// File of executions or tasks.
  std::string RecordFile;
  /// Where the system sends requests and leases to.
  programs::HttpSettings Listen;
  /// Where health and figures are read.
  programs::HttpSettings Operators;
  /// Entry VMs, taken in turn.
  std::vector<std::string> Entries;
  Milliseconds Renew{1000};
};

/// Reads the shared keys; `recordKey` names the file of executions or tasks.
StandInSettings readStandInSettings(SettingsReader &reader,
                                    const std::string &recordKey);

} // namespace masticwinch
