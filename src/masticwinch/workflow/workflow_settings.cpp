#include "masticwinch/workflow/workflow_settings.hpp"

namespace masticwinch::workflow {

namespace {

constexpr SettingsRange PortRange{1, 65'535};
constexpr SettingsRange LeaseRange{1'000, 60'000};
constexpr SettingsRange SnapshotRange{10, 1'000'000};
constexpr SettingsRange HeldBytesRange{1'048'576, 1'073'741'824};
/// Largest capacity of a VM's network link, in Mbit/s.
constexpr double MaxLinkMbps = 1'000'000;

/// Reads the seeds. Each is listed by the address for operators, which is also
/// its name. Its internal address has the same IP address and a port that is
/// the same on all control VMs.
std::vector<programs::PeerSettings> readSeeds(SettingsReader &reader) {
  const std::int64_t port =
      reader.requiredInteger("seed_internal_port", PortRange);
  std::vector<programs::PeerSettings> seeds;
  reader.eachObject("seeds", [&](SettingsReader &nested) {
    programs::PeerSettings seed;
    seed.Name = nested.requiredString("control_address");
    const std::size_t colon = seed.Name.rfind(':');
    if (colon == std::string::npos) {
      nested.report("control_address", "must be IP:PORT");
    }
    seed.Address =
        "tcp://" + seed.Name.substr(0, colon) + ":" + std::to_string(port);
    seeds.push_back(std::move(seed));
  });
  if (seeds.empty()) {
    reader.report("seeds", "must list at least one control VM");
  }
  return seeds;
}

DaemonSettings readDaemon(SettingsReader &reader) {
  DaemonSettings daemon;
  daemon.Process = programs::readProcessSettings(reader);
  daemon.Metrics = programs::readEndpoint(reader, "metrics_address");
  daemon.Seeds = readSeeds(reader);
  daemon.AdviceAddress = reader.optionalString("advice_address", "");
  constexpr double KbpsPerMbps = 1000;
  daemon.LinkKbps = static_cast<std::uint32_t>(
      reader.optionalDecimal("link_mbps", 0, MaxLinkMbps, 0) * KbpsPerMbps);
  daemon.MaxHeldBytes = static_cast<std::size_t>(
      reader.optionalInteger("max_held_bytes", HeldBytesRange,
                             static_cast<std::int64_t>(daemon.MaxHeldBytes)));
  return daemon;
}

} // namespace

Result<ControlVmSettings> loadControlVmSettings(const std::string &file) {
  return readSettings<ControlVmSettings>(
      file, [](SettingsReader &reader, ControlVmSettings &settings) {
        settings.Daemon = readDaemon(reader);
        settings.Control = programs::readEndpoint(reader, "control_address");
        settings.Control.MaxHeldBytes = settings.Daemon.MaxHeldBytes;
        settings.DataFolder = reader.requiredString("data_folder");
        settings.SharedDataFolder =
            reader.optionalBoolean("shared_data_folder", false);
        settings.SetDamagedFolderAside =
            reader.optionalBoolean("set_damaged_folder_aside", false);
        settings.FirstStart = reader.optionalBoolean("first_start", false);
        settings.LongestLease = reader.optionalMilliseconds(
            "longest_lease_ms", LeaseRange, settings.LongestLease);
        settings.SnapshotEntries =
            static_cast<std::uint64_t>(reader.optionalInteger(
                "snapshot_entries", SnapshotRange,
                static_cast<std::int64_t>(settings.SnapshotEntries)));
      });
}

Result<EntryVmSettings> loadEntryVmSettings(const std::string &file) {
  return readSettings<EntryVmSettings>(file, [](SettingsReader &reader,
                                                EntryVmSettings &settings) {
    settings.Daemon = readDaemon(reader);
    settings.Callers = programs::readEndpoint(reader, "callers_address");
    settings.Callers.MaxHeldBytes = settings.Daemon.MaxHeldBytes;
    settings.Readiness = programs::readEndpoint(reader, "readiness_address");
  });
}

} // namespace masticwinch::workflow
