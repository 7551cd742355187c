#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/replication/membership.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticwinch::replication {

/// When the membership is mended without an operator.
struct RepairOptions {
  /// Voters that the cell aims for. Five survive the loss of any two; replicas
  /// beyond them stand by as learners.
  std::size_t TargetVoters = 5;
  /// Heartbeat rounds without an answer after which a voter makes room for a
  /// learner that has caught up.
  std::uint64_t UnresponsiveVoterRounds = 12;
  /// Rounds without an answer after which a learner is dropped.
  std::uint64_t UnresponsiveLearnerRounds = 60;
};

/// What a leader knows of one other member.
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

/// The next change that brings the cell closer to its target of live voters;
/// nothing if there is none. A member whose name came back with another
/// identity has lost its disk and goes first, which never raises the number of
/// live voters that a quorum needs; a newcomer becomes a learner and, once it
/// has caught up, a voter in the place of one that fell unresponsive.
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
