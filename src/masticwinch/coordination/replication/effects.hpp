#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/replication/durable_state.hpp"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::replication {

/// Role of a replica in its current term.
enum class Role { Follower, PreCandidate, Candidate, Leader };

/// Reason why a replica refused a request.
enum class ReplicationError {
  NotLeader,
  /// A leadership transfer is in progress; the next leader will accept
  /// requests.
  Transferring,
  /// Too many proposals are uncommitted.
  Overloaded,
  /// The command exceeds `ReplicaOptions::MaxEntryBytes`.
  TooLarge,
  /// An earlier membership change is uncommitted, or the leader has not yet
  /// committed an entry of its own term.
  ChangePending,
  /// The change adds a replica that is already a member, or names one that is
  /// unknown or not eligible.
  BadChange,
  /// Too few voters of the new membership are responsive and intact.
  WouldLoseQuorum,
  /// No voter is eligible to become the leader.
  NoTarget,
};

/// State changes of a replica that are written to the event log.
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
  /// Address of the receiver in the sender's membership; empty if it is not a
  /// member.
  std::string Address;
  protocol::ReplicationMessage Message;
};

/// Outcome of `Replica::read`.
struct ReadOutcome {
  std::uint64_t Id = 0;
  /// True if this replica was the leader at some time after the read was
  /// requested. All entries committed up to then have been emitted.
  bool Confirmed = false;
};

/// Actions that the caller must perform after an input.
struct Effects {
  std::vector<OutgoingMessage> Messages;
  /// Write and sync, then call `Replica::persisted`. At most one batch is in
  /// flight, so that all changes that arrive meanwhile share the next sync.
  std::optional<WriteBatch> Write;
  /// Restore before `Committed` is applied.
  std::shared_ptr<const Snapshot> Restore;
  /// Entries to apply, in order.
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
