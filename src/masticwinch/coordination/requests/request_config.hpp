#pragma once

#include "masticwinch/coordination/requests/request_rules.hpp"
#include "masticwinch/protocol/cell.pb.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {

/// An upstream and the configuration revision at which its current incarnation
/// was added.
struct UpstreamEntry {
  protocol::Upstream Upstream;
  std::uint64_t Revision = 0;
};

/// The part of the cell's configuration that request handling depends on. An
/// item whose revision is lower than the known one is ignored, so items never
/// revert.
class RequestConfig {
public:
  void apply(const protocol::ConfigItem &item);

  /// Upstreams that may receive requests, by name.
  const std::map<std::string, UpstreamEntry> &upstreams() const {
    return Upstreams;
  }

  /// Entry VMs of the cell by name, including those that are leaving.
  const std::map<std::string, protocol::EntryMember> &entries() const {
    return Entries;
  }

  /// Returns the profile's policy; null if the profile is unknown or retired.
  const protocol::RequestPolicy *findPolicy(const std::string &profile) const;

  bool isRetired(const std::string &profile) const {
    return Retired.contains(profile);
  }

  /// Rules of a profile for one entry VM; limits are shared among those that
  /// are not leaving.
  RequestRules rulesFor(const protocol::RequestPolicy &policy) const;

  bool hasUrgentProfile() const { return UrgentProfiles > 0; }

  /// Longest deadline of all profiles.
  Milliseconds longestDeadline() const;

  std::uint64_t revision() const { return Revision; }

  /// Revision of the last change to the set of entry VMs.
  std::uint64_t entriesRevision() const { return EntriesRevision; }

  /// Names of the entry VMs that began to leave after the revision, including
  /// those that have left since.
  std::vector<std::string> departuresSince(std::uint64_t revision) const;

private:
  struct Departure {
    std::uint64_t Incarnation = 0;
    std::uint64_t Revision = 0;
  };

  void applyProfile(const protocol::ConfigItem &item);
  void applyUpstream(const protocol::ConfigItem &item);
  void applyEntry(const protocol::ConfigItem &item);
  void updateProfileTotals();

  std::map<std::string, std::uint64_t> ItemRevisions;
  std::map<std::string, UpstreamEntry> Upstreams;
  std::map<std::string, protocol::EntryMember> Entries;
  /// The last incarnation of each entry VM that was seen leaving, and when.
  std::map<std::string, Departure> Departures;
  std::map<std::string, protocol::RequestPolicy> Policies;
  std::set<std::string> Retired;
  std::size_t UrgentProfiles = 0;
  Milliseconds LongestDeadline{0};
  std::uint64_t Revision = 0;
  std::uint64_t EntriesRevision = 0;
};

} // namespace masticwinch
