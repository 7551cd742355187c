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
  /// An entry VM serves for this long after it sent the hello that was
  /// answered.
  Milliseconds Lease{1500};
  /// Added on the leader's side for clocks that run at different rates.
  Milliseconds DriftBound{150};
  /// An entry VM that is silent for this long is taken off the configuration.
  Milliseconds Lapse{10000};
  /// An entry VM that yielded its upstreams owns some again after it was heard
  /// for this long without a gap. Longer than a new owner waits for deadlines
  /// of up to 8 s, so that reservations are handed back.
  Milliseconds StabilityPeriod{15000};
};

/// An entry VM that has been silent for too long.
struct LapsedEntry {
  std::string Name;
  std::uint64_t Incarnation = 0;
};

/// An entry VM that has to give up its upstreams, or may own some again.
struct OwnershipChange {
  std::string Name;
  std::uint64_t Incarnation = 0;
  bool Yielded = false;
};

/// What an entry VM said in a hello.
struct ReceivedHello {
  std::string Name;
  std::uint64_t Incarnation = 0;
  /// Highest configuration revision that is in use there.
  std::uint64_t Revision = 0;
};

/// The leader's account of the serving leases that entry VMs hold, and of the
/// configuration revision that each of them uses. Soft state: a new leader
/// assumes that every member holds a lease from an earlier leader until the
/// longest such lease has run out.
class EntryLeases {
public:
  explicit EntryLeases(EntryLeaseOptions options) : Options(options) {}

  /// Forgets what was known; called when this process becomes leader.
  void becomeLeader(SteadyTime now);

  /// Records a hello from a member and extends its lease.
  void hello(const ReceivedHello &entry, SteadyTime now);

  /// Whether an entry VM may hold a lease that has not run out. A new
  /// incarnation joins only after the earlier one can't serve any more.
  bool mayServe(const protocol::EntryMember &entry, SteadyTime now) const;

  /// Members that have been silent for longer than the lapse.
  std::vector<LapsedEntry> lapsed(const Configuration &configuration,
                                  SteadyTime now) const;

  /// Members that can't grant slots any more since their lease is over, while
  /// another one can take their upstreams; and those that are back for good.
  std::vector<OwnershipChange>
  ownershipChanges(const Configuration &configuration, SteadyTime now) const;

  /// What is in force: every member that may serve counts.
  protocol::InForceReply inForce(const Configuration &configuration,
                                 SteadyTime now) const;

  const EntryLeaseOptions &options() const { return Options; }

private:
  struct Member {
    std::uint64_t Incarnation = 0;
    std::uint64_t Revision = 0;
    SteadyTime LastHello{};
    /// First hello since the last gap that was longer than the lease.
    SteadyTime StableSince{};
  };

  const Member *find(const protocol::EntryMember &entry) const;
  SteadyTime lastContact(const protocol::EntryMember &entry) const;
  bool isStable(const protocol::EntryMember &entry, SteadyTime now) const;

  EntryLeaseOptions Options;
  SteadyTime LeaderSince{};
  std::map<std::string, Member> Members;
};

} // namespace masticwinch::cell
