#include "masticwinch/coordination/replication/replica.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch::replication {

void Replica::becomeLeader(SteadyTime now) {
  CurrentRole = Role::Leader;
  Leader = Self;
  Votes.clear();
  Peers.clear();
  PendingReads.clear();
  LeaderSince = now;
  Round = 0;
  HeartbeatRounds.clear();
  UncommittedBytes = 0;
  for (std::uint64_t i = CommitIndex + 1; i <= Log.lastIndex(); ++i) {
    UncommittedBytes += Log.at(i).data().size();
  }
  recordEvent(ReplicaEventKind::RoleChanged, Self.text());
  TermStartIndex = appendLocalEntry(protocol::NO_OPERATION, {});
  updatePeers();
  startHeartbeatRound(now);
}

/// Creates progress for new peers and drops it for removed ones.
void Replica::updatePeers() {
  const Membership &membership = Log.membership();
  std::erase_if(Peers,
                [&](const auto &it) { return !membership.find(it.first); });
  for (const Member &it : membership.Members) {
    if (it.Id != Self) {
      const auto [peer, added] = Peers.try_emplace(it.Id);
      if (added) {
        peer->second.Next = TermStartIndex;
      }
    }
  }
}

std::uint64_t Replica::appendLocalEntry(protocol::LogEntryKind kind,
                                        std::string data) {
  protocol::LogEntry entry;
  entry.set_index(Log.lastIndex() + 1);
  entry.set_term(Hard.Term);
  entry.set_kind(kind);
  UncommittedBytes += data.size();
  entry.set_data(std::move(data));
  Log.append(std::move(entry));
  return Log.lastIndex();
}

void Replica::leaderTick(SteadyTime now) {
  if (!stepDownWithoutQuorum(now) && now >= HeartbeatDue) {
    startHeartbeatRound(now);
  }
}

void Replica::startHeartbeatRound(SteadyTime now) {
  ++Round;
  HeartbeatRounds.push_back({Round, now});
  HeartbeatDue = now + Options.HeartbeatInterval;
  for (auto &[id, peer] : Peers) {
    if (peer.Mode == ReplicationMode::Streaming &&
        Round - std::min(Round, peer.Round) > Options.MaxSilentRounds) {
      // A peer that has not answered in this term is expected to hold the log
      // up to the start of the term.
      peer.probeFrom(
          std::max(peer.Match + 1, std::min(peer.Next, TermStartIndex)));
    }
    sendAppend(id, peer, true, now);
    if (peer.PendingSnapshot &&
        now - peer.ChunkSentAt >= Options.HeartbeatInterval) {
      sendSnapshotChunk(id, peer, now);
    }
  }
}

void Replica::flushAppends(SteadyTime now) {
  if (readsWaitForRound()) {
    startHeartbeatRound(now);
  }
  for (auto &[id, peer] : Peers) {
    if (std::exchange(peer.ProbeDue, false)) {
      sendAppend(id, peer, false, now);
    }
    while (!peer.PendingSnapshot && maySendEntries(peer)) {
      sendAppend(id, peer, false, now);
    }
  }
}

bool Replica::maySendEntries(const PeerProgress &peer) const {
  return peer.Mode == ReplicationMode::Streaming &&
         peer.Next <= Log.lastIndex() &&
         peer.Next - peer.Match <= Options.MaxEntriesInFlight &&
         peer.BytesInFlight < Options.MaxBytesInFlight;
}

void Replica::sendAppend(ReplicaId id, PeerProgress &peer, bool heartbeat,
                         SteadyTime now) {
  if (!peer.PendingSnapshot && peer.Next < Log.firstIndex()) {
    peer.PendingSnapshot = LastSnapshot;
    peer.SnapshotOffset = 0;
    sendSnapshotChunk(id, peer, now);
    if (!heartbeat) {
      return;
    }
  }
  protocol::ReplicationMessage message = makeMessage();
  protocol::AppendRequest *request = message.mutable_append_request();
  request->set_round(Round);
  request->set_commit_index(CommitIndex);
  if (peer.RepairNonce != 0) {
    request->set_repair_nonce(peer.RepairNonce);
    request->set_last_index(Log.lastIndex());
  }
  if (!peer.PendingSnapshot) {
    request->set_prev_index(peer.Next - 1);
    request->set_prev_term(Log.termAt(peer.Next - 1).value_or(0));
    fillEntries(*request, peer);
  }
  send(id, std::move(message));
}

void Replica::fillEntries(protocol::AppendRequest &request,
                          PeerProgress &peer) const {
  std::size_t bytes = 0;
  while (maySendEntries(peer) && bytes < Options.MaxMessageBytes) {
    const protocol::LogEntry &entry = Log.at(peer.Next);
    *request.add_entries() = entry;
    bytes += entry.data().size();
    ++peer.Next;
  }
  if (bytes > 0) {
    peer.noteSent(peer.Next - 1, bytes);
  }
}

void Replica::sendSnapshotChunk(ReplicaId id, PeerProgress &peer,
                                SteadyTime now) {
  const Snapshot &snapshot = *peer.PendingSnapshot;
  const std::uint64_t total = snapshot.Data.size();
  const std::uint64_t lastChunk = total > Options.SnapshotChunkBytes
                                      ? total - Options.SnapshotChunkBytes
                                      : 0;
  const std::uint64_t offset = peer.SnapshotOffset < total
                                   ? peer.SnapshotOffset
                                   : std::min(lastChunk, peer.SnapshotOffset);
  protocol::ReplicationMessage message = makeMessage();
  protocol::SnapshotChunk *chunk = message.mutable_snapshot_chunk();
  chunk->set_index(snapshot.Index);
  chunk->set_term(snapshot.Term);
  *chunk->mutable_membership() = snapshot.Members.toMessage();
  chunk->set_total_bytes(total);
  chunk->set_checksum(snapshot.Checksum);
  chunk->set_offset(offset);
  chunk->set_data(snapshot.Data.substr(offset, Options.SnapshotChunkBytes));
  chunk->set_data_checksum(snapshotChecksum(chunk->data()));
  peer.ChunkSentAt = now;
  send(id, std::move(message));
}

void Replica::handleSnapshotReply(const protocol::SnapshotReply &reply,
                                  ReplicaId from, SteadyTime now) {
  const auto it = Peers.find(from);
  if (CurrentRole != Role::Leader || it == Peers.end()) {
    return;
  }
  PeerProgress &peer = it->second;
  if (!peer.PendingSnapshot || peer.PendingSnapshot->Index != reply.index() ||
      peer.PendingSnapshot->Checksum != reply.checksum() ||
      reply.next_offset() > peer.PendingSnapshot->Data.size()) {
    return;
  }
  if (reply.next_offset() != peer.SnapshotOffset) {
    peer.SnapshotOffset = reply.next_offset();
    sendSnapshotChunk(from, peer, now);
  }
}

void Replica::handleAppendReply(const protocol::ReplicationMessage &message,
                                ReplicaId from, SteadyTime now) {
  const protocol::AppendReply &reply = message.append_reply();
  const auto it = Peers.find(from);
  if (CurrentRole != Role::Leader || it == Peers.end()) {
    return;
  }
  if (reply.round() > Round || reply.match_index() > Log.lastIndex()) {
    return rejectMessage(from, "reply to a message that was not sent");
  }
  PeerProgress &peer = it->second;
  peer.Round = std::max(peer.Round, reply.round());
  peer.RepairNonce = reply.repair_nonce();
  if (reply.accepted()) {
    peer.Match = std::max(peer.Match, reply.match_index());
    resumeStreaming(peer);
  } else if (reply.repair_nonce() != 0) {
    peer.Match = std::min(peer.Match, reply.match_index());
    probeAgain(peer, reply.match_index() + 1);
  } else if (reply.match_index() >= peer.Match) {
    probeAgain(peer, reply.match_index() + 1);
  }
  advanceCommit(now);
  confirmReads();
}

/// Continues behind the position that the peer has acknowledged.
void Replica::resumeStreaming(PeerProgress &peer) {
  const bool installed =
      peer.PendingSnapshot && peer.Match >= peer.PendingSnapshot->Index;
  if (installed) {
    peer.PendingSnapshot.reset();
  }
  if (installed || peer.Mode == ReplicationMode::Probing) {
    peer.probeFrom(peer.Match + 1);
    peer.Mode = ReplicationMode::Streaming;
  }
  peer.Next = std::max(peer.Next, peer.Match + 1);
  peer.noteAcknowledged(peer.Match);
}

/// Probes again after a refusal. Everything that was sent ahead is refused as
/// well; only a refusal that tells an earlier position is followed by a probe,
/// or each of them would have the log sent once more.
void Replica::probeAgain(PeerProgress &peer, std::uint64_t next) {
  if (peer.Mode == ReplicationMode::Probing && next >= peer.Next) {
    return;
  }
  peer.probeFrom(next);
  peer.ProbeDue = true;
}

std::uint64_t Replica::quorumValue(std::uint64_t PeerProgress::*field,
                                   std::uint64_t own) const {
  std::vector<std::uint64_t> values;
  for (const Member &it : Log.membership().Members) {
    if (it.Learner) {
      continue;
    }
    const auto peer = Peers.find(it.Id);
    values.push_back(peer == Peers.end() ? own : peer->second.*field);
  }
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[Log.membership().quorum() - 1];
}

void Replica::advanceCommit(SteadyTime now) {
  const std::uint64_t index = quorumValue(&PeerProgress::Match, PersistedIndex);
  if (index > CommitIndex && Log.termAt(index) == Hard.Term) {
    while (CommitIndex < index) {
      ++CommitIndex;
      UncommittedBytes -= Log.at(CommitIndex).data().size();
    }
    confirmReads();
    stepDownIfRemoved(now);
  }
}

std::optional<SteadyTime> Replica::lastQuorumContact(SteadyTime now) const {
  if (Peers.empty()) {
    return now;
  }
  const std::uint64_t round = quorumValue(&PeerProgress::Round, Round);
  for (const HeartbeatRound &it : HeartbeatRounds) {
    if (it.Round == round) {
      return it.SentAt;
    }
  }
  return std::nullopt;
}

/// Steps down if no quorum has answered within the maximum election timeout.
bool Replica::stepDownWithoutQuorum(SteadyTime now) {
  if (CurrentRole != Role::Leader) {
    return false;
  }
  const SteadyTime lastContact = lastQuorumContact(now).value_or(LeaderSince);
  while (HeartbeatRounds.size() > 1 &&
         HeartbeatRounds.front().SentAt < lastContact) {
    HeartbeatRounds.pop_front();
  }
  if (now - lastContact <= Options.ElectionTimeoutMax) {
    return false;
  }
  recordEvent(ReplicaEventKind::QuorumLost);
  becomeFollower(Hard.Term, std::nullopt, now);
  return true;
}

void Replica::resign(SteadyTime now) {
  if (CurrentRole == Role::Leader) {
    becomeFollower(Hard.Term, std::nullopt, now);
  }
}

bool Replica::holdsLease(SteadyTime now) const {
  if (CurrentRole != Role::Leader || !isReadyLeader() ||
      (PendingTransfer && PendingTransfer->RequestSent)) {
    return false;
  }
  const auto lastContact = lastQuorumContact(now);
  const auto length =
      Options.ElectionTimeoutMin * (1000 - Options.ClockDriftPermille) / 1000;
  return lastContact && now - *lastContact < length;
}

bool Replica::isReadyLeader() const {
  return CurrentRole == Role::Leader && CommitIndex >= TermStartIndex;
}

const PeerProgress *Replica::progressOf(ReplicaId id) const {
  const auto it = Peers.find(id);
  return it == Peers.end() ? nullptr : &it->second;
}

} // namespace masticwinch::replication
