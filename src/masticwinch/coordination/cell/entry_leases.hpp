#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::cell {

class Configuration;

/// Durations of the serving leases of entry VMs.
struct EntryLeaseOptions {
  /// How long an entry VM may serve after it sent a hello that was answered.
  Milliseconds Lease{1500};
  /// Added by the leader to allow for clocks that run at different rates.
  Milliseconds DriftBound{150};
  /// An entry VM that is silent for longer than this is removed from the
  /// configuration.
  Milliseconds Lapse{10000};
  /// An entry VM that yielded its upstreams may own some again after its hellos
  /// arrived for this long without a gap. Longer than the waiting period of a
  /// new owner for deadlines of up to 8 s, so that reservations are handed
  /// back.
  Milliseconds StabilityPeriod{15000};
};

/// An entry VM that has been silent for longer than the lapse.
struct LapsedEntry {
  std::string Name;
  std::uint64_t Incarnation = 0;
};

/// An entry VM that must yield its upstreams, or may own some again.
struct OwnershipChange {
  std::string Name;
  std::uint64_t Incarnation = 0;
  bool Yielded = false;
};

/// Contents of a hello from an entry VM.
struct ReceivedHello {
  std::string Name;
  std::uint64_t Incarnation = 0;
  /// Latest configuration revision that the entry VM uses.
  std::uint64_t Revision = 0;
};

/// Tracks, on the leader, the serving leases that entry VMs hold and the
/// configuration revision that each of them uses. Soft state: a new leader
/// assumes that every member holds a lease from an earlier leader until the
/// longest possible such lease has expired.
class EntryLeases {
public:
  explicit EntryLeases(EntryLeaseOptions options) : Options(options) {}

  /// Discards all state; called when this process becomes leader.
  void becomeLeader(SteadyTime now);

  /// Records that an entry VM joined. Its silence counts from then on; it holds
  /// no lease before its first hello.
  void joined(const std::string &name, SteadyTime now);

  /// Records a hello from a member and extends its lease.
  void hello(const ReceivedHello &entry, SteadyTime now);

  /// Whether an entry VM may hold an unexpired lease. A new incarnation joins
  /// only when the previous one can't serve any more.
  bool mayServe(const protocol::EntryMember &entry, SteadyTime now) const;

  /// Members that have been silent for longer than the lapse.
  std::vector<LapsedEntry> lapsed(const Configuration &configuration,
                                  SteadyTime now) const;

  /// Members that must yield because their lease has expired and another member
  /// can take over their upstreams, and members that yielded and are stable
  /// again.
  std::vector<OwnershipChange>
  ownershipChanges(const Configuration &configuration, SteadyTime now) const;

  /// The accepted and in-force revisions; a revision is in force when all
  /// members that may serve use it.
  protocol::InForceReply inForce(const Configuration &configuration,
                                 SteadyTime now) const;

  const EntryLeaseOptions &options() const { return Options; }

private:
  struct Member {
    std::uint64_t Incarnation = 0;
    std::uint64_t Revision = 0;
    SteadyTime LastHello{};
    /// Time of the first hello after the last gap that was longer than the
    /// lease.
    SteadyTime StableSince{};
  };

  const Member *find(const protocol::EntryMember &entry) const;
  SteadyTime lastContact(const protocol::EntryMember &entry) const;
  SteadyTime silentSince(const protocol::EntryMember &entry) const;
  bool isStable(const protocol::EntryMember &entry, SteadyTime now) const;

  EntryLeaseOptions Options;
  SteadyTime LeaderSince{};
  std::map<std::string, Member> Members;
  /// When each entry VM last joined under this leader.
  std::map<std::string, SteadyTime> Joins;
};

} // namespace masticwinch::cell
