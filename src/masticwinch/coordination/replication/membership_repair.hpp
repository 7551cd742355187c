#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/replication/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticwinch::replication {

/// Limits for automatic repair of the membership.
struct RepairOptions {
  /// Target number of voters. Five tolerate the loss of any two; further
  /// replicas are kept as learners.
  std::size_t TargetVoters = 5;
  /// Unanswered heartbeat rounds after which a voter is replaced by a learner
  /// that has caught up.
  std::uint64_t UnresponsiveVoterRounds = 12;
  /// Unanswered heartbeat rounds after which a learner is removed.
  std::uint64_t UnresponsiveLearnerRounds = 60;
};

/// Health of another member as seen by the leader.
struct MemberHealth {
  std::uint64_t MissedRounds = 0;
  bool CaughtUp = false;
};

enum class RepairKind : std::uint8_t { Remove, Add, Promote };

/// One change of the membership.
struct RepairStep {
  RepairKind Kind = RepairKind::Add;
  Member Replica;
};

/// Returns the next change that brings the cell closer to its target number of
/// responsive voters, or nothing if no change is needed. A member whose name is
/// used by a candidate with another identity has lost its disk and is removed
/// first; this never raises the number of responsive voters that a quorum
/// needs. A candidate is added as a learner and, once it has caught up,
/// promoted in place of an unresponsive voter.
std::optional<RepairStep>
nextRepair(const RepairOptions &options, const Membership &membership,
           ReplicaId self, const std::map<ReplicaId, MemberHealth> &health,
           const std::vector<Member> &candidates);

} // namespace masticwinch::replication

namespace masticwinch {

template <> struct EnumNames<replication::RepairKind> {
  using Kind = replication::RepairKind;
  static constexpr std::array Table{EnumName<Kind>{Kind::Remove, "remove"},
                                    EnumName<Kind>{Kind::Add, "add"},
                                    EnumName<Kind>{Kind::Promote, "promote"}};
};

} // namespace masticwinch
