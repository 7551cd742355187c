#include "masticwinch/coordination/replication/replica.hpp"

#include <algorithm>

namespace masticwinch::replication {

namespace {

/// True if the recovered entries end before the snapshot or conflict with it.
bool endsBeforeSnapshot(const RecoveredState &state) {
  return state.LastSnapshot &&
         ReplicaLog(state).termAt(state.LastSnapshot->Index) !=
             state.LastSnapshot->Term;
}

} // namespace

Replica::Replica(ReplicaOptions options, ReplicaId self,
                 RecoveredState recovered, std::mt19937_64 engine,
                 SteadyTime now)
    : Options(options), Self(self), Engine(engine), Log(recovered),
      Hard(recovered.Hard), LastSnapshot(recovered.LastSnapshot),
      LastLeaderContact(now), Assembly(options.MaxSnapshotBytes) {
  CommitIndex = LastSnapshot ? LastSnapshot->Index : 0;
  EmittedIndex = CommitIndex;
  if (endsBeforeSnapshot(recovered)) {
    Log.resetTo(*LastSnapshot);
    ResetStoredLog = true;
    UnwrittenSnapshot = LastSnapshot;
  }
  NextToWrite = Log.lastIndex() + 1;
  PersistedIndex = Log.lastIndex();
  PendingEffects.Restore = LastSnapshot;
  if (Hard.Repairing) {
    RepairNonce = std::max<std::uint64_t>(1, Engine());
    recordEvent(ReplicaEventKind::RepairStarted);
  }
  resetElectionTimer(now);
  if (Log.membership().voterCount() == 1 && Log.membership().isVoter(Self)) {
    ElectionDeadline = now;
  }
}

std::uint64_t Replica::snapshotIndex() const {
  return LastSnapshot ? LastSnapshot->Index : 0;
}

void Replica::recordEvent(ReplicaEventKind kind, std::string detail) {
  PendingEffects.Events.push_back(
      {kind, Hard.Term, Log.lastIndex(), std::move(detail)});
}

SteadyTime Replica::nextTick() const {
  return CurrentRole == Role::Leader ? HeartbeatDue : ElectionDeadline;
}

void Replica::tick(SteadyTime now) {
  if (CurrentRole == Role::Leader) {
    leaderTick(now);
    return;
  }
  if (now < ElectionDeadline) {
    return;
  }
  if (Log.membership().isVoter(Self) && !repairing() && Electable) {
    startPreVote(now);
  } else {
    resetElectionTimer(now);
  }
}

void Replica::receive(const protocol::ReplicationMessage &message,
                      SteadyTime now) {
  using Body = protocol::ReplicationMessage;
  const ReplicaId from{message.from_high(), message.from_low()};
  if (message.to_low() != Self.Low || from == Self ||
      message.body_case() == Body::BODY_NOT_SET) {
    rejectMessage(from, "malformed or addressed to another replica");
    return;
  }
  stepDownWithoutQuorum(now);
  if (!acceptTerm(message, from, now)) {
    return;
  }
  switch (message.body_case()) {
  case Body::kVoteRequest:
    return handleVoteRequest(message, from, now);
  case Body::kVoteReply:
    return handleVoteReply(message, from, now);
  case Body::kAppendRequest:
    return handleAppend(message, from, now);
  case Body::kAppendReply:
    return handleAppendReply(message, from, now);
  case Body::kSnapshotChunk:
    return handleSnapshotChunk(message.snapshot_chunk(), from, now);
  case Body::kSnapshotReply:
    return handleSnapshotReply(message.snapshot_reply(), from, now);
  case Body::kTransferRequest:
    return handleTransferRequest(from, now);
  case Body::BODY_NOT_SET:
    return;
  }
}

void Replica::rejectMessage(ReplicaId from, std::string_view reason) {
  recordEvent(ReplicaEventKind::MessageRefused,
              from.text() + ": " + std::string(reason));
}

protocol::ReplicationMessage Replica::makeMessage() const {
  protocol::ReplicationMessage message;
  message.set_from_high(Self.High);
  message.set_from_low(Self.Low);
  message.set_term(Hard.Term);
  return message;
}

void Replica::send(ReplicaId to, protocol::ReplicationMessage message) {
  message.set_to_low(to.Low);
  const Member *member = Log.membership().find(to);
  PendingEffects.Messages.push_back(
      {to, member ? member->Address : std::string(), std::move(message)});
}

void Replica::sendAfterSync(ReplicaId to,
                            protocol::ReplicationMessage message) {
  if (!hasUnwrittenState() && !InFlight) {
    send(to, std::move(message));
    return;
  }
  message.set_to_low(to.Low);
  const std::uint64_t sequence =
      hasUnwrittenState() ? NextSequence : InFlight->Sequence;
  Deferred.push_back({sequence, {to, {}, std::move(message)}});
}

bool Replica::hasUnwrittenState() const {
  return HardDirty || UnwrittenSnapshot || NextToWrite <= Log.lastIndex();
}

bool Replica::hardStateUnsynced() const {
  return HardDirty || (InFlight && InFlight->HasHard);
}

void Replica::persisted(std::uint64_t sequence, SteadyTime now) {
  if (!InFlight || InFlight->Sequence != sequence) {
    return;
  }
  PersistedIndex = std::max(PersistedIndex, InFlight->LastIndex);
  if (InFlight->NewSnapshot) {
    Log.discardThrough(lastDiscardable(InFlight->NewSnapshot->Index));
  }
  InFlight.reset();
  sendDeferred(sequence);
  if (stepDownWithoutQuorum(now)) {
    return;
  }
  if (CurrentRole == Role::Candidate && !hardStateUnsynced()) {
    Votes.insert(Self);
    countVotes(now);
  } else if (CurrentRole == Role::Leader) {
    advanceCommit(now);
  }
}

void Replica::sendDeferred(std::uint64_t sequence) {
  std::vector<DeferredMessage> deferred = std::move(Deferred);
  Deferred.clear();
  for (DeferredMessage &it : deferred) {
    if (it.Message.Message.term() != Hard.Term) {
      continue;
    }
    if (it.Sequence > sequence) {
      Deferred.push_back(std::move(it));
    } else {
      send(it.Message.To, std::move(it.Message.Message));
    }
  }
}

void Replica::truncateFrom(std::uint64_t index) {
  Log.truncateFrom(index);
  NextToWrite = std::min(NextToWrite, index);
  PersistedIndex = std::min(PersistedIndex, index - 1);
  if (InFlight) {
    InFlight->LastIndex = std::min(InFlight->LastIndex, index - 1);
  }
}

void Replica::compact(std::uint64_t index, std::string data) {
  const auto term = Log.termAt(index);
  if (!term || index > EmittedIndex || index <= snapshotIndex()) {
    return;
  }
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->Index = index;
  snapshot->Term = *term;
  snapshot->Members = Log.membershipAt(index);
  snapshot->Checksum = snapshotChecksum(data);
  snapshot->Data = std::move(data);
  LastSnapshot = snapshot;
  UnwrittenSnapshot = std::move(snapshot);
}

/// Returns the last index that need not be retained behind a snapshot.
std::uint64_t Replica::lastDiscardable(std::uint64_t snapshotIndex) const {
  std::uint64_t index = std::min(snapshotIndex, Log.lastIndex());
  std::size_t bytes = 0;
  while (index >= Log.firstIndex() &&
         snapshotIndex - index < Options.RetainedEntries &&
         bytes + Log.at(index).data().size() <= Options.RetainedBytes) {
    bytes += Log.at(index).data().size();
    --index;
  }
  return index;
}

void Replica::emitWrite() {
  if (InFlight || !hasUnwrittenState()) {
    return;
  }
  WriteBatch batch;
  batch.Sequence = NextSequence++;
  batch.NewSnapshot = std::move(UnwrittenSnapshot);
  UnwrittenSnapshot.reset();
  batch.ResetLog = std::exchange(ResetStoredLog, false);
  if (batch.NewSnapshot) {
    batch.DiscardThrough = lastDiscardable(batch.NewSnapshot->Index);
  }
  if (batch.ResetLog) {
    // A later snapshot may have replaced the one that was installed.
    NextToWrite = std::max(NextToWrite, batch.NewSnapshot->Index + 1);
  }
  if (std::exchange(HardDirty, false)) {
    batch.Hard = Hard;
  }
  for (; NextToWrite <= Log.lastIndex(); ++NextToWrite) {
    batch.Entries.push_back(Log.at(NextToWrite));
  }
  InFlight = InFlightWrite{batch.Sequence, Log.lastIndex(),
                           batch.Hard.has_value(), batch.NewSnapshot};
  PendingEffects.Write = std::move(batch);
}

void Replica::emitCommitted() {
  while (EmittedIndex < CommitIndex) {
    ++EmittedIndex;
    PendingEffects.Committed.push_back(Log.at(EmittedIndex));
  }
}

Effects Replica::takeEffects(SteadyTime now) {
  if (CurrentRole == Role::Leader) {
    advanceTransfer(now);
  }
  if (CurrentRole == Role::Leader) {
    flushAppends(now);
  }
  emitWrite();
  emitCommitted();
  return std::exchange(PendingEffects, {});
}

} // namespace masticwinch::replication
