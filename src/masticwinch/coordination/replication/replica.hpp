#pragma once

#include "masticwinch/common/result.hpp"
#include "masticwinch/coordination/replication/effects.hpp"
#include "masticwinch/coordination/replication/peer_progress.hpp"
#include "masticwinch/coordination/replication/replica_log.hpp"
#include "masticwinch/coordination/replication/replica_options.hpp"
#include "masticwinch/coordination/replication/snapshot_assembly.hpp"

#include <deque>
#include <map>
#include <random>
#include <set>

namespace masticwinch::replication {

/// One replica of a Raft-style replicated log, implemented as a state machine
/// without I/O. Inputs are messages, ticks, finished syncs and requests, each
/// with the time at which it is handled; afterwards `takeEffects` returns the
/// actions to perform. Not thread-safe.
class Replica {
public:
  /// Starts from the state recovered from storage. `engine` randomizes the
  /// election timeouts.
  Replica(ReplicaOptions options, ReplicaId self, RecoveredState recovered,
          std::mt19937_64 engine, SteadyTime now);

  /// Handles elapsed time; must be called no later than `nextTick`.
  void tick(SteadyTime now);

  /// Handles a message. A malformed message, or one addressed to another
  /// replica, has no effect.
  void receive(const protocol::ReplicationMessage &message, SteadyTime now);

  /// Reports that a write batch has been synced.
  void persisted(std::uint64_t sequence, SteadyTime now);

  /// Proposes a command and returns its index. The command is accepted once
  /// `Effects::Committed` contains an entry with that index and the same term.
  /// Errors: `ReplicationError`.
  Result<std::uint64_t> propose(std::string command, SteadyTime now);

  /// Requests a confirmation that this replica is the leader. When it is
  /// confirmed, the applied state reflects everything accepted before the
  /// request.
  void read(std::uint64_t id, SteadyTime now);

  /// Adds a replica as a learner. Errors: `ReplicationError`.
  Result<std::uint64_t> addLearner(Member member, SteadyTime now);

  /// Promotes a learner that has caught up to voter. Errors:
  /// `ReplicationError`.
  Result<std::uint64_t> promote(ReplicaId id, SteadyTime now);

  /// Removes a replica. Errors: `ReplicationError`.
  Result<std::uint64_t> remove(ReplicaId id, SteadyTime now);

  /// Transfers leadership to the voter with the most complete log. Errors:
  /// `ReplicationError`.
  Result<ReplicaId> transferLeadership(SteadyTime now);

  /// Steps down if this replica is the leader; it may be elected again.
  void resign(SteadyTime now);

  /// Sets whether this replica may stand for election. A replica that cannot
  /// write to its disk can follow, but could not serve as leader.
  void setElectable(bool electable) { Electable = electable; }

  /// Provides the application state after the committed entry at `index`, so
  /// that the log up to it can be compacted.
  void compact(std::uint64_t index, std::string data);

  /// Returns the actions that have become due since the last call.
  Effects takeEffects(SteadyTime now);

  /// Time at which the next tick is due.
  SteadyTime nextTick() const;

  Role role() const { return CurrentRole; }
  std::uint64_t term() const { return Hard.Term; }
  std::optional<ReplicaId> leader() const { return Leader; }
  std::uint64_t commitIndex() const { return CommitIndex; }
  std::uint64_t lastIndex() const { return Log.lastIndex(); }
  std::uint64_t snapshotIndex() const;
  const Membership &membership() const { return Log.membership(); }
  bool repairing() const { return RepairNonce != 0; }
  ReplicaId self() const { return Self; }

  /// True while no other replica can be leader: a quorum has answered a
  /// heartbeat that was sent less than the minimum election timeout ago,
  /// reduced by the clock drift. Must be checked with a current time right
  /// before a reply is sent.
  bool holdsLease(SteadyTime now) const;

  /// True once this replica, as leader, has committed an entry of its own term.
  bool isReadyLeader() const;

  /// Number of heartbeat rounds that a peer has not answered; 0 unless leader.
  std::uint64_t missedRounds(ReplicaId id) const;

  /// Whether a learner holds every committed entry; false unless leader.
  bool hasCaughtUp(ReplicaId id) const;

  /// Replication progress of a peer; null unless leader.
  const PeerProgress *progressOf(ReplicaId id) const;

private:
  struct DeferredMessage {
    std::uint64_t Sequence = 0;
    OutgoingMessage Message;
  };
  struct InFlightWrite {
    std::uint64_t Sequence = 0;
    std::uint64_t LastIndex = 0;
    bool HasHard = false;
    std::shared_ptr<const Snapshot> NewSnapshot;
  };
  struct PendingRead {
    std::uint64_t Id = 0;
    std::uint64_t Round = 0;
  };
  struct HeartbeatRound {
    std::uint64_t Round = 0;
    SteadyTime SentAt;
  };
  struct Transfer {
    ReplicaId Target;
    SteadyTime Deadline;
    bool RequestSent = false;
  };

  // replica.cpp
  void recordEvent(ReplicaEventKind kind, std::string detail = {});
  protocol::ReplicationMessage makeMessage() const;
  void send(ReplicaId to, protocol::ReplicationMessage message);
  void sendAfterSync(ReplicaId to, protocol::ReplicationMessage message);
  bool hasUnwrittenState() const;
  bool hardStateUnsynced() const;
  void sendDeferred(std::uint64_t sequence);
  std::uint64_t lastDiscardable(std::uint64_t snapshotIndex) const;
  void emitWrite();
  void emitCommitted();
  void truncateFrom(std::uint64_t index);

  // replica_election.cpp
  void becomeFollower(std::uint64_t term, std::optional<ReplicaId> leader,
                      SteadyTime now);
  void resetElectionTimer(SteadyTime now);
  void startPreVote(SteadyTime now);
  void startElection(bool transfer, SteadyTime now);
  void requestVotes(bool preVote, bool transfer);
  void countVotes(SteadyTime now);
  bool hasRecentLeaderContact(SteadyTime now) const;
  bool isUpToDate(const protocol::VoteRequest &request) const;
  bool acceptTerm(const protocol::ReplicationMessage &message, ReplicaId from,
                  SteadyTime now);
  void handleVoteRequest(const protocol::ReplicationMessage &message,
                         ReplicaId from, SteadyTime now);
  void handleVoteReply(const protocol::ReplicationMessage &message,
                       ReplicaId from, SteadyTime now);
  void handleTransferRequest(ReplicaId from, SteadyTime now);

  // replica_leader.cpp
  void becomeLeader(SteadyTime now);
  void leaderTick(SteadyTime now);
  void startHeartbeatRound(SteadyTime now);
  void updatePeers();
  std::uint64_t appendLocalEntry(protocol::LogEntryKind kind, std::string data);
  void flushAppends(SteadyTime now);
  void sendAppend(ReplicaId id, PeerProgress &peer, bool heartbeat,
                  SteadyTime now);
  bool maySendEntries(const PeerProgress &peer) const;
  void fillEntries(protocol::AppendRequest &request, PeerProgress &peer) const;
  static void resumeStreaming(PeerProgress &peer);
  static void probeAgain(PeerProgress &peer, std::uint64_t next);
  void sendSnapshotChunk(ReplicaId id, PeerProgress &peer, SteadyTime now);
  void handleAppendReply(const protocol::ReplicationMessage &message,
                         ReplicaId from, SteadyTime now);
  void handleSnapshotReply(const protocol::SnapshotReply &reply, ReplicaId from,
                           SteadyTime now);
  void advanceCommit(SteadyTime now);
  void confirmReads();
  void failReads();
  bool readsWaitForRound() const;
  void advanceTransfer(SteadyTime now);
  std::uint64_t quorumValue(std::uint64_t PeerProgress::*field,
                            std::uint64_t own) const;
  std::optional<SteadyTime> lastQuorumContact(SteadyTime now) const;
  bool stepDownWithoutQuorum(SteadyTime now);

  // replica_requests.cpp
  Result<std::uint64_t> changeMembership(Membership next, SteadyTime now);
  std::optional<ReplicationError> requestError() const;
  bool hasHealthyQuorum(const Membership &membership) const;
  void stepDownIfRemoved(SteadyTime now);

  // replica_follower.cpp
  void followLeader(ReplicaId leader, SteadyTime now);
  void handleAppend(const protocol::ReplicationMessage &message, ReplicaId from,
                    SteadyTime now);
  bool isWellFormed(const protocol::AppendRequest &request) const;
  bool conflictsWithCommitted(const protocol::AppendRequest &request) const;
  bool matchesPreviousEntry(const protocol::AppendRequest &request) const;
  std::uint64_t retryIndex(const protocol::AppendRequest &request) const;
  void appendEntries(const protocol::AppendRequest &request);
  void replyToAppend(ReplicaId to, const protocol::AppendRequest &request,
                     bool accepted, std::uint64_t index);
  void advanceRepair(const protocol::AppendRequest &request,
                     std::uint64_t match);
  void rejectMessage(ReplicaId from, std::string_view reason);
  void handleSnapshotChunk(const protocol::SnapshotChunk &chunk, ReplicaId from,
                           SteadyTime now);
  void installSnapshot(std::shared_ptr<const Snapshot> snapshot);

  ReplicaOptions Options;
  ReplicaId Self;
  std::mt19937_64 Engine;
  ReplicaLog Log;
  HardState Hard;
  bool HardDirty = false;
  Role CurrentRole = Role::Follower;
  std::optional<ReplicaId> Leader;
  std::uint64_t CommitIndex = 0;
  /// Last index emitted in `Effects::Committed`.
  std::uint64_t EmittedIndex = 0;
  std::shared_ptr<const Snapshot> LastSnapshot;

  // Persistence.
  std::uint64_t NextSequence = 1;
  std::uint64_t NextToWrite = 1;
  std::uint64_t PersistedIndex = 0;
  std::optional<InFlightWrite> InFlight;
  std::shared_ptr<const Snapshot> UnwrittenSnapshot;
  bool ResetStoredLog = false;
  std::vector<DeferredMessage> Deferred;

  // Election.
  SteadyTime LastLeaderContact;
  SteadyTime ElectionDeadline;
  bool Electable = true;
  std::set<ReplicaId> Votes;

  // Follower.
  std::uint64_t RepairNonce = 0;
  SnapshotAssembly Assembly;

  // Leader.
  std::map<ReplicaId, PeerProgress> Peers;
  SteadyTime LeaderSince;
  SteadyTime HeartbeatDue;
  std::uint64_t TermStartIndex = 0;
  /// Size of the entries after `CommitIndex`.
  std::size_t UncommittedBytes = 0;
  std::uint64_t Round = 0;
  std::deque<HeartbeatRound> HeartbeatRounds;
  std::vector<PendingRead> PendingReads;
  std::optional<Transfer> PendingTransfer;

  Effects PendingEffects;
};

} // namespace masticwinch::replication
