#pragma once

#include "masticwinch/coordination/replication/replica_id.hpp"

#include <optional>
#include <string>
#include <vector>

namespace masticwinch::protocol {
class ReplicaMembership;
}

namespace masticwinch::replication {

/// One replica in the membership of a cell.
struct Member {
  ReplicaId Id;
  std::string Name;
  /// Internal address that receives messages of other processes.
  std::string Address;
  std::string DataCenter;
  /// A learner receives the log, but neither votes nor counts towards a quorum.
  bool Learner = false;

  bool operator==(const Member &) const = default;
};

/// The replicas of one cell.
struct Membership {
  std::vector<Member> Members;

  bool operator==(const Membership &) const = default;

  const Member *find(ReplicaId id) const;
  const Member *findByName(const std::string &name) const;
  bool isVoter(ReplicaId id) const;
  std::size_t voterCount() const;

  /// Number of voters required for a decision.
  std::size_t quorum() const { return voterCount() / 2 + 1; }

  protocol::ReplicaMembership toMessage() const;
  static Membership fromMessage(const protocol::ReplicaMembership &message);

  /// Parses a serialized `ReplicaMembership`; returns nothing if it is
  /// malformed.
  static std::optional<Membership> parse(const std::string &bytes);
};

} // namespace masticwinch::replication
