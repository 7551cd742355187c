#include "masticwinch/control/control_settings.hpp"

#include <algorithm>

namespace masticwinch::control {

namespace {

constexpr SettingsRange LeaseRange{200, 10'000};
constexpr SettingsRange HeartbeatRange{20, 10'000};
constexpr SettingsRange ElectionRange{100, 60'000};
constexpr SettingsRange SnapshotRange{10, 1'000'000};
constexpr SettingsRange LapseRange{1'000, 600'000};

void readLeases(SettingsReader &reader, CellServiceOptions &service) {
  cell::EntryLeaseOptions &leases = service.EntryLeases;
  leases.Lease =
      reader.optionalMilliseconds("entry_lease_ms", LeaseRange, leases.Lease);
  leases.DriftBound = reader.optionalMilliseconds("drift_bound_ms", {0, 5'000},
                                                  leases.DriftBound);
  leases.Lapse =
      reader.optionalMilliseconds("entry_lapse_ms", LapseRange, leases.Lapse);
  service.UpstreamLapse = reader.optionalMilliseconds(
      "upstream_lapse_ms", LapseRange, service.UpstreamLapse);
  if (leases.Lapse <= leases.Lease + leases.DriftBound) {
    reader.report("entry_lapse_ms",
                  "must be longer than entry_lease_ms and drift_bound_ms");
  }
}

void readPlacement(SettingsReader &reader,
                   placement::PlacerSettings &settings) {
  const std::string name = reader.optionalString(
      "placement_policy", std::string(nameOf(settings.Policy)));
  const auto policy = parseEnum<placement::PolicyName>(name);
  if (policy) {
    settings.Policy = *policy;
  } else {
    reader.report("placement_policy", "must be first_fit, pack or spread");
  }
  reader.object("worker_leases", [&](SettingsReader &nested) {
    placement::LeaseSettings &lease = settings.Lease;
    lease.Length =
        nested.optionalMilliseconds("length_ms", LapseRange, lease.Length);
    lease.RenewInterval = nested.optionalMilliseconds(
        "renew_every_ms", LeaseRange, lease.RenewInterval);
    lease.CallTimeout = nested.optionalMilliseconds(
        "call_timeout_ms", LeaseRange, lease.CallTimeout);
    if (lease.Length < 2 * (lease.RenewInterval + lease.CallTimeout)) {
      nested.report("length_ms", "must be at least twice renew_every_ms and "
                                 "call_timeout_ms together");
    }
  });
}

void readReplication(SettingsReader &reader, ControlSettings &settings) {
  replication::ReplicaOptions &replica = settings.Replica;
  replica.HeartbeatInterval = reader.optionalMilliseconds(
      "heartbeat_ms", HeartbeatRange, replica.HeartbeatInterval);
  replica.ElectionTimeoutMin = reader.optionalMilliseconds(
      "election_timeout_min_ms", ElectionRange, replica.ElectionTimeoutMin);
  replica.ElectionTimeoutMax = reader.optionalMilliseconds(
      "election_timeout_max_ms", ElectionRange, replica.ElectionTimeoutMax);
  settings.SnapshotEntries = static_cast<std::uint64_t>(reader.optionalInteger(
      "snapshot_entries", SnapshotRange,
      static_cast<std::int64_t>(settings.SnapshotEntries)));
  if (replica.ElectionTimeoutMin < 2 * replica.HeartbeatInterval) {
    reader.report("election_timeout_min_ms",
                  "must be at least twice heartbeat_ms");
  }
  if (replica.ElectionTimeoutMax <= replica.ElectionTimeoutMin) {
    reader.report("election_timeout_max_ms",
                  "must be longer than election_timeout_min_ms");
  }
}

} // namespace

Result<ControlSettings> loadControlSettings(const std::string &file) {
  return readSettings<ControlSettings>(file, [](SettingsReader &reader,
                                                ControlSettings &settings) {
    settings.Process = programs::readProcessSettings(reader);
    settings.DataFolder = reader.requiredString("data_folder");
    settings.Members = programs::readPeerSettings(reader, "members");
    settings.Operators = programs::readHttpSettings(reader, "operators");
    reader.object("leases", [&](SettingsReader &nested) {
      readLeases(nested, settings.Service);
    });
    readPlacement(reader, settings.Placement);
    reader.object("replication", [&](SettingsReader &nested) {
      readReplication(nested, settings);
    });
    const bool listed =
        std::any_of(settings.Members.begin(), settings.Members.end(),
                    [&](const programs::PeerSettings &it) {
                      return it.Name == settings.Process.Name &&
                             it.Address == settings.Process.AnnouncedAddress;
                    });
    if (!listed) {
      reader.report("members",
                    "must list this process by name and announced_address");
    }
  });
}

} // namespace masticwinch::control
