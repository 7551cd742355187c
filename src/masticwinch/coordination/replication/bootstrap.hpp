#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

namespace masticwinch::replication {

/// Term of the first log entry of every cell.
inline constexpr std::uint64_t BootstrapTerm = 1;

/// Returns the state with which every initial member of a cell starts: a log
/// whose only entry is the initial membership. The result does not depend on
/// the order of `initialMembers`.
RecoveredState bootstrapState(Membership initialMembers);

/// Collects the identities of a cell's initial members. The cell is
/// bootstrapped only after every configured replica has reported an empty data
/// folder, so that a VM whose disk was wiped cannot start a second history.
class InitialMembership {
public:
  /// `configured` lists the names and addresses of all initial members,
  /// including `self`.
  InitialMembership(Member self, std::vector<Member> configured);

  /// Records the identity of a replica whose data folder is empty. A replica
  /// whose name and address are not configured is ignored.
  void addIdentity(const Member &member);

  /// The initial membership, or nothing until every identity is known.
  std::optional<Membership> complete() const;

private:
  std::vector<Member> Configured;
  Membership Known;
};

} // namespace masticwinch::replication
