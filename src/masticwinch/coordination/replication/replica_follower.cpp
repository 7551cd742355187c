#include "masticwinch/coordination/replication/replica.hpp"

#include <algorithm>

namespace masticwinch::replication {

void Replica::followLeader(ReplicaId leader, SteadyTime now) {
  if (CurrentRole != Role::Follower || Leader != leader) {
    becomeFollower(Hard.Term, leader, now);
  }
  LastLeaderContact = now;
  resetElectionTimer(now);
}

void Replica::handleAppend(const protocol::ReplicationMessage &message,
                           ReplicaId from, SteadyTime now) {
  const protocol::AppendRequest &request = message.append_request();
  if (CurrentRole == Role::Leader) {
    return rejectMessage(from, "another leader in the same term");
  }
  if (!isWellFormed(request) || conflictsWithCommitted(request)) {
    return rejectMessage(from, "malformed or conflicting entries");
  }
  followLeader(from, now);
  if (!matchesPreviousEntry(request)) {
    return replyToAppend(from, request, false, retryIndex(request));
  }
  appendEntries(request);
  const std::uint64_t match =
      request.prev_index() + static_cast<std::uint64_t>(request.entries_size());
  CommitIndex = std::max(CommitIndex, std::min(request.commit_index(), match));
  advanceRepair(request, match);
  replyToAppend(from, request, true, match);
}

bool Replica::isWellFormed(const protocol::AppendRequest &request) const {
  std::uint64_t index = request.prev_index();
  std::uint64_t term = request.prev_term();
  for (const protocol::LogEntry &it : request.entries()) {
    if (it.index() != ++index || it.term() < term || it.term() > Hard.Term) {
      return false;
    }
    term = it.term();
  }
  return true;
}

bool Replica::conflictsWithCommitted(
    const protocol::AppendRequest &request) const {
  for (const protocol::LogEntry &it : request.entries()) {
    const auto term = Log.termAt(it.index());
    if (it.index() <= CommitIndex && term && *term != it.term()) {
      return true;
    }
  }
  return false;
}

/// True if the log contains the entry that precedes the request's entries.
/// Entries that were compacted are committed and therefore match.
bool Replica::matchesPreviousEntry(
    const protocol::AppendRequest &request) const {
  if (request.prev_index() + 1 < Log.firstIndex()) {
    return true;
  }
  return Log.termAt(request.prev_index()) == request.prev_term();
}

/// Returns the last index that may match, skipping a whole conflicting term at
/// once.
std::uint64_t
Replica::retryIndex(const protocol::AppendRequest &request) const {
  if (request.prev_index() > Log.lastIndex()) {
    return Log.lastIndex();
  }
  if (request.prev_index() < Log.firstIndex()) {
    return CommitIndex;
  }
  const std::uint64_t first = Log.firstIndexOfTerm(request.prev_index());
  return std::max(CommitIndex, first - 1);
}

void Replica::appendEntries(const protocol::AppendRequest &request) {
  const Membership before = Log.membership();
  for (const protocol::LogEntry &it : request.entries()) {
    if (it.index() < Log.firstIndex()) {
      continue;
    }
    if (it.index() <= Log.lastIndex()) {
      if (Log.termAt(it.index()) == it.term()) {
        continue;
      }
      truncateFrom(it.index());
    }
    if (it.index() == Log.lastIndex() + 1) {
      Log.append(it);
    }
  }
  if (Log.membership() != before) {
    recordEvent(ReplicaEventKind::MembershipChanged);
  }
}

void Replica::replyToAppend(ReplicaId to,
                            const protocol::AppendRequest &request,
                            bool accepted, std::uint64_t index) {
  protocol::ReplicationMessage message = makeMessage();
  protocol::AppendReply *reply = message.mutable_append_reply();
  reply->set_accepted(accepted);
  reply->set_match_index(index);
  reply->set_round(request.round());
  reply->set_repair_nonce(RepairNonce);
  const bool synced = !accepted || index <= PersistedIndex;
  if (synced && !hardStateUnsynced()) {
    send(to, std::move(message));
  } else {
    sendAfterSync(to, std::move(message));
  }
}

/// A repair is complete once the synced log reaches the end that the leader's
/// log had after this replica restarted: it then holds everything that this
/// replica acknowledged before.
void Replica::advanceRepair(const protocol::AppendRequest &request,
                            std::uint64_t match) {
  if (!repairing() || request.repair_nonce() != RepairNonce) {
    return;
  }
  if (match < request.last_index() || match > PersistedIndex) {
    return;
  }
  RepairNonce = 0;
  Hard.Repairing = false;
  HardDirty = true;
  recordEvent(ReplicaEventKind::RepairFinished);
}

void Replica::handleSnapshotChunk(const protocol::SnapshotChunk &chunk,
                                  ReplicaId from, SteadyTime now) {
  if (CurrentRole == Role::Leader) {
    return rejectMessage(from, "another leader in the same term");
  }
  followLeader(from, now);
  SnapshotAssembly::Outcome outcome = SnapshotAssembly::Outcome::Complete;
  if (chunk.index() > CommitIndex) {
    outcome = Assembly.add(chunk);
    if (outcome == SnapshotAssembly::Outcome::Complete) {
      installSnapshot(Assembly.take());
    }
  }
  protocol::ReplicationMessage message = makeMessage();
  if (outcome == SnapshotAssembly::Outcome::Refused) {
    recordEvent(ReplicaEventKind::SnapshotRefused, from.text());
    return;
  }
  if (outcome == SnapshotAssembly::Outcome::Complete) {
    message.mutable_append_reply()->set_accepted(true);
    message.mutable_append_reply()->set_match_index(CommitIndex);
    message.mutable_append_reply()->set_repair_nonce(RepairNonce);
    sendAfterSync(from, std::move(message));
    return;
  }
  protocol::SnapshotReply *reply = message.mutable_snapshot_reply();
  reply->set_index(chunk.index());
  reply->set_checksum(chunk.checksum());
  reply->set_next_offset(Assembly.nextOffset());
  sendAfterSync(from, std::move(message));
}

void Replica::installSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  if (Log.termAt(snapshot->Index) != snapshot->Term) {
    Log.resetTo(*snapshot);
    ResetStoredLog = true;
    NextToWrite = snapshot->Index + 1;
    PersistedIndex = 0;
    if (InFlight) {
      InFlight->LastIndex = 0;
    }
  }
  CommitIndex = snapshot->Index;
  EmittedIndex = snapshot->Index;
  LastSnapshot = snapshot;
  UnwrittenSnapshot = snapshot;
  PendingEffects.Restore = snapshot;
  recordEvent(ReplicaEventKind::SnapshotInstalled);
}

} // namespace masticwinch::replication
