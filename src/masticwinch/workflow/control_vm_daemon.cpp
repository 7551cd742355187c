#include "masticwinch/workflow/control_vm_daemon.hpp"

namespace masticwinch::workflow {

control::ReplicatedLogOptions logOptionsOf(const ControlVmSettings &settings) {
  const programs::ProcessSettings &process = settings.Daemon.Process;
  control::ReplicatedLogOptions options;
  options.Storage.Folder = settings.DataFolder;
  options.Storage.Cluster = process.Cluster;
  options.Storage.SharedFolder = settings.SharedDataFolder;
  options.Storage.SetDamagedAside = settings.SetDamagedFolderAside;
  options.Replica = settings.Replica;
  options.SnapshotEntries = settings.SnapshotEntries;
  options.Self.Name = process.Name;
  options.Self.Address = process.AnnouncedAddress;
  options.Self.DataCenter = process.DataCenter;
  bool isSeed = false;
  for (const programs::PeerSettings &it : settings.Daemon.Seeds) {
    options.InitialMembers.push_back({{}, it.Name, it.Address, "", false});
    isSeed = isSeed || it.Name == process.Name;
  }
  options.MayBootstrap = settings.FirstStart && isSeed;
  options.Repair = replication::RepairOptions();
  return options;
}

WorkflowLeaderOptions leaderOptionsOf(const ControlVmSettings &settings) {
  WorkflowLeaderOptions options;
  options.Runners.Lease =
      std::min(options.Runners.Lease, settings.LongestLease);
  options.Runners.LongestLease = settings.LongestLease;
  return options;
}

HttpServerOptions controlServerOptions(const ControlVmSettings &settings) {
  constexpr std::size_t MaxBodyBytes = 6UL * 1024 * 1024;
  HttpServerOptions options = programs::serverOptions(settings.Control);
  options.MaxBodyBytes = MaxBodyBytes;
  return options;
}

} // namespace masticwinch::workflow
