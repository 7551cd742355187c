#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/control/cell_service.hpp"
#include "masticwinch/coordination/placement/placer_types.hpp"
#include "masticwinch/coordination/replication/replica_options.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch::control {

/// Settings of a control process; docs/settings.md describes the file.
struct ControlSettings {
  programs::ProcessSettings Process;
  std::string DataFolder;
  std::vector<programs::PeerSettings> Members;
  programs::HttpSettings Operators;
  CellServiceOptions Service;
  placement::PlacerSettings Placement;
  replication::ReplicaOptions Replica;
  /// Number of committed entries after which a snapshot is taken.
  std::uint64_t SnapshotEntries = 5000;
};

/// Reads and validates a settings file. Errors: `SettingsError`.
Result<ControlSettings> loadControlSettings(const std::string &file);

} // namespace masticwinch::control
