#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/replication/durable_state.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::replication {

/// What a replica does in its term.
enum class Role { Follower, PreCandidate, Candidate, Leader };

/// Why a request to a replica was refused.
enum class ReplicationError {
  NotLeader,
  /// Leadership is being handed over; the next leader will take it.
  Transferring,
  /// Too many proposals wait for a quorum.
  Overloaded,
  /// The entry is larger than the limit.
  TooLarge,
  /// An earlier membership change is not committed, or the leader has not yet
  /// committed an entry of its own term.
  ChangePending,
  /// The membership change names a replica that is unknown, or already there.
  BadChange,
  /// Too few of the remaining voters answer and are whole.
  WouldLoseQuorum,
  /// No replica is fit to take over.
  NoTarget,
};

/// What happened inside a replica, for the event log.
enum class ReplicaEventKind {
  RoleChanged,
  MembershipChanged,
  SnapshotInstalled,
  SnapshotRefused,
  RepairStarted,
  RepairFinished,
  MessageRefused,
  QuorumLost,
};

struct ReplicaEvent {
  ReplicaEventKind Kind;
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  std::string Detail;
};

struct OutgoingMessage {
  ReplicaId To;
  /// Where the receiver listens, as the sender's membership lists it.
  std::string Address;
  protocol::ReplicationMessage Message;
};

/// The outcome of `Replica::read`.
struct ReadOutcome {
  std::uint64_t Id = 0;
  /// True if this replica was the leader after the read was asked for; all
  /// commits up to that moment have been handed out.
  bool Confirmed = false;
};

/// What the surrounding program must do after an input.
struct Effects {
  std::vector<OutgoingMessage> Messages;
  /// To be written and synced; then `Replica::persisted`. At most one batch is
  /// out at a time, so that all that comes up meanwhile shares the next sync.
  std::optional<WriteBatch> Write;
  /// To be restored before `Committed` is applied.
  std::shared_ptr<const Snapshot> Restore;
  /// To be applied in order.
  std::vector<protocol::LogEntry> Committed;
  std::vector<ReadOutcome> Reads;
  std::vector<ReplicaEvent> Events;
};

} // namespace masticwinch::replication

namespace masticwinch {

template <> struct EnumNames<replication::Role> {
  using Role = replication::Role;
  static constexpr std::array Table{
      EnumName<Role>{Role::Follower, "follower"},
      EnumName<Role>{Role::PreCandidate, "pre-candidate"},
      EnumName<Role>{Role::Candidate, "candidate"},
      EnumName<Role>{Role::Leader, "leader"}};
};

template <> struct EnumNames<replication::ReplicationError> {
  using Error = replication::ReplicationError;
  static constexpr std::array Table{
      EnumName<Error>{Error::NotLeader, "not-leader"},
      EnumName<Error>{Error::Transferring, "transferring"},
      EnumName<Error>{Error::Overloaded, "overloaded"},
      EnumName<Error>{Error::TooLarge, "too-large"},
      EnumName<Error>{Error::ChangePending, "change-pending"},
      EnumName<Error>{Error::BadChange, "bad-change"},
      EnumName<Error>{Error::WouldLoseQuorum, "would-lose-quorum"},
      EnumName<Error>{Error::NoTarget, "no-target"}};
};

template <> struct EnumNames<replication::ReplicaEventKind> {
  using Kind = replication::ReplicaEventKind;
  static constexpr std::array Table{
      EnumName<Kind>{Kind::RoleChanged, "replica_role_changed"},
      EnumName<Kind>{Kind::MembershipChanged, "replica_membership_changed"},
      EnumName<Kind>{Kind::SnapshotInstalled, "replica_snapshot_installed"},
      EnumName<Kind>{Kind::SnapshotRefused, "replica_snapshot_refused"},
      EnumName<Kind>{Kind::RepairStarted, "replica_repair_started"},
      EnumName<Kind>{Kind::RepairFinished, "replica_repair_finished"},
      EnumName<Kind>{Kind::MessageRefused, "replica_message_refused"},
      EnumName<Kind>{Kind::QuorumLost, "replica_quorum_lost"}};
};

} // namespace masticwinch
