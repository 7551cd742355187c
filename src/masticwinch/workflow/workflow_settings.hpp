#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/coordination/replication/replica_options.hpp"
#include "masticwinch/http/http_server.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch::workflow {

/// Settings common to both workflow daemons.
struct DaemonSettings {
  programs::ProcessSettings Process;
  programs::HttpSettings Metrics;
  /// Control VMs known at the start, with name and internal address.
  std::vector<programs::PeerSettings> Seeds;
  /// Address of the advice service as `IP:PORT`; empty if there is none.
  std::string AdviceAddress;
  /// Capacity of this VM's network link in kbit/s; 0 if it isn't known.
  std::uint32_t LinkKbps = 0;
  /// Most bytes that requests, and unread responses, hold at the port of
  /// callers or operators, see `HttpServerOptions::MaxHeldBytes`.
  std::size_t MaxHeldBytes = HttpServerOptions().MaxHeldBytes;
};

/// Options with which an election takes less than a second.
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
  /// Address for runners and operators.
  programs::HttpSettings Control;
  std::string DataFolder;
  /// Allows a data folder that belongs to another user or is writable by
  /// others.
  bool SharedDataFolder = false;
  /// Sets a data folder without a readable identity aside and lets the replica
  /// join again as a new one.
  bool SetDamagedFolderAside = false;
  /// Set for the first start of the cell, in which the seeds may create it.
  bool FirstStart = false;
  /// Upper limit of the length of runners' leases.
  Milliseconds LongestLease{10'000};
  /// Elections are faster than by default, because callers wait for only a few
  /// seconds. A message between data centres takes about 2 ms.
  replication::ReplicaOptions Replica = fastElectionOptions();
  /// Number of committed records after which a new snapshot is stored.
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
