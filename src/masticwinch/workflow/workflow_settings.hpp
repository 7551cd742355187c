#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/coordination/replication/replica_options.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch::workflow {

/// What both daemons of workflows are told.
struct DaemonSettings {
  programs::ProcessSettings Process;
  programs::HttpSettings Metrics;
  /// Control VMs that are known at the start, by name and internal address.
  std::vector<programs::PeerSettings> Seeds;
  /// The advice service, `IP:PORT`; empty if there is none.
  std::string AdviceAddress;
};

/// Options for elections within a second.
inline replication::ReplicaOptions fastElectionOptions() {
  replication::ReplicaOptions options;
  options.HeartbeatInterval = Milliseconds(150);
  options.ElectionTimeoutMin = Milliseconds(550);
  options.ElectionTimeoutMax = Milliseconds(850);
  return options;
}

/// Settings of a control VM; docs/settings.md describes the file.
struct ControlVmSettings {
  DaemonSettings Daemon;
  /// Where runners and operators call.
  programs::HttpSettings Control;
  std::string DataFolder;
  /// The folder may belong to another user or be writable by others.
  bool SharedDataFolder = false;
  /// A folder without a usable identity is set aside, and the replica joins
  /// anew.
  bool SetDamagedFolderAside = false;
  /// The cell starts for the first time, so that the seeds may found it.
  bool FirstStart = false;
  /// Limit of the runners' leases, in milliseconds.
  Milliseconds LongestLease{10'000};
  /// Elections are quicker than the default, since callers wait for a few
  /// seconds at most; a message between data centres takes some 2 ms.
  replication::ReplicaOptions Replica = fastElectionOptions();
  /// Committed records after which the state is stored anew.
  std::uint64_t SnapshotEntries = 4000;
};

/// Settings of an entry VM; docs/settings.md describes the file.
struct EntryVmSettings {
  DaemonSettings Daemon;
  programs::HttpSettings Callers;
  programs::HttpSettings Readiness;
};

/// Reads and checks a settings file. Errors: `SettingsError`.
Result<ControlVmSettings> loadControlVmSettings(const std::string &file);
Result<EntryVmSettings> loadEntryVmSettings(const std::string &file);

} // namespace masticwinch::workflow
