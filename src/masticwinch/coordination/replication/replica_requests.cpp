#include "masticwinch/coordination/replication/replica.hpp"

#include <algorithm>

namespace masticwinch::replication {

namespace {

/// Heartbeat rounds that a replica may miss and still count as responsive.
constexpr std::uint64_t MaxMissedRounds = 3;

} // namespace

std::optional<ReplicationError> Replica::requestError() const {
  if (CurrentRole != Role::Leader) {
    return ReplicationError::NotLeader;
  }
  if (PendingTransfer) {
    return ReplicationError::Transferring;
  }
  if (Log.lastIndex() - CommitIndex >= Options.MaxUncommittedEntries ||
      UncommittedBytes >= Options.MaxUncommittedBytes) {
    return ReplicationError::Overloaded;
  }
  return std::nullopt;
}

Result<std::uint64_t> Replica::propose(std::string command, SteadyTime now) {
  stepDownWithoutQuorum(now);
  if (const auto error = requestError()) {
    return boost::leaf::new_error(*error);
  }
  if (command.size() > Options.MaxEntryBytes) {
    return boost::leaf::new_error(ReplicationError::TooLarge);
  }
  return appendLocalEntry(protocol::COMMAND, std::move(command));
}

void Replica::read(std::uint64_t id, SteadyTime now) {
  stepDownWithoutQuorum(now);
  if (CurrentRole != Role::Leader) {
    PendingEffects.Reads.push_back({id, false});
    return;
  }
  PendingReads.push_back({id, Round + 1});
  confirmReads();
}

bool Replica::readsWaitForRound() const {
  return !PendingReads.empty() && PendingReads.back().Round > Round;
}

void Replica::confirmReads() {
  if (!isReadyLeader()) {
    return;
  }
  const std::uint64_t round =
      Peers.empty() ? Round + 1 : quorumValue(&PeerProgress::Round, Round);
  std::erase_if(PendingReads, [&](const PendingRead &it) {
    if (it.Round > round) {
      return false;
    }
    PendingEffects.Reads.push_back({it.Id, true});
    return true;
  });
}

void Replica::failReads() {
  for (const PendingRead &it : PendingReads) {
    PendingEffects.Reads.push_back({it.Id, false});
  }
  PendingReads.clear();
}

Result<ReplicaId> Replica::transferLeadership(SteadyTime now) {
  if (const auto error = requestError()) {
    return boost::leaf::new_error(*error);
  }
  std::optional<ReplicaId> target;
  for (const auto &[id, peer] : Peers) {
    const bool better = !target || peer.Match > Peers.at(*target).Match;
    if (better && Log.membership().isVoter(id) && peer.RepairNonce == 0) {
      target = id;
    }
  }
  if (!target) {
    return boost::leaf::new_error(ReplicationError::NoTarget);
  }
  PendingTransfer = Transfer{*target, now + Options.ElectionTimeoutMax, false};
  return *target;
}

/// Asks the target to start an election once it holds the complete log. The
/// request may be delivered late, so the leader can no longer rely on its lease
/// in this term: if the transfer fails, it steps down.
void Replica::advanceTransfer(SteadyTime now) {
  if (!PendingTransfer) {
    return;
  }
  const PeerProgress *peer = progressOf(PendingTransfer->Target);
  if (now >= PendingTransfer->Deadline || !peer) {
    const bool requestSent = PendingTransfer->RequestSent;
    PendingTransfer.reset();
    if (requestSent) {
      becomeFollower(Hard.Term, std::nullopt, now);
    }
    return;
  }
  if (!PendingTransfer->RequestSent && peer->Match == Log.lastIndex()) {
    PendingTransfer->RequestSent = true;
    protocol::ReplicationMessage message = makeMessage();
    message.mutable_transfer_request();
    send(PendingTransfer->Target, std::move(message));
  }
}

Result<std::uint64_t> Replica::addLearner(Member member, SteadyTime now) {
  Membership next = Log.membership();
  if (next.find(member.Id)) {
    return boost::leaf::new_error(ReplicationError::BadChange);
  }
  member.Learner = true;
  next.Members.push_back(std::move(member));
  return changeMembership(std::move(next), now);
}

Result<std::uint64_t> Replica::promote(ReplicaId id, SteadyTime now) {
  Membership next = Log.membership();
  if (!hasCaughtUp(id) || next.isVoter(id)) {
    return boost::leaf::new_error(ReplicationError::BadChange);
  }
  for (Member &it : next.Members) {
    it.Learner = it.Learner && it.Id != id;
  }
  return changeMembership(std::move(next), now);
}

bool Replica::hasCaughtUp(ReplicaId id) const {
  const PeerProgress *peer = progressOf(id);
  return peer && peer->Match >= CommitIndex && peer->RepairNonce == 0;
}

std::uint64_t Replica::missedRounds(ReplicaId id) const {
  const PeerProgress *peer = progressOf(id);
  return peer ? Round - std::min(Round, peer->Round) : 0;
}

Result<std::uint64_t> Replica::remove(ReplicaId id, SteadyTime now) {
  Membership next = Log.membership();
  const std::size_t before = next.Members.size();
  std::erase_if(next.Members, [&](const Member &it) { return it.Id == id; });
  if (next.Members.size() == before || next.voterCount() == 0) {
    return boost::leaf::new_error(ReplicationError::BadChange);
  }
  return changeMembership(std::move(next), now);
}

Result<std::uint64_t> Replica::changeMembership(Membership next,
                                                SteadyTime now) {
  stepDownWithoutQuorum(now);
  if (const auto error = requestError()) {
    return boost::leaf::new_error(*error);
  }
  if (!isReadyLeader() || Log.membershipIndex() > CommitIndex) {
    return boost::leaf::new_error(ReplicationError::ChangePending);
  }
  if (!hasHealthyQuorum(next)) {
    return boost::leaf::new_error(ReplicationError::WouldLoseQuorum);
  }
  const std::uint64_t index = appendLocalEntry(
      protocol::MEMBERSHIP, next.toMessage().SerializeAsString());
  updatePeers();
  recordEvent(ReplicaEventKind::MembershipChanged);
  return index;
}

/// True if a quorum of the voters is responsive and needs no repair.
bool Replica::hasHealthyQuorum(const Membership &membership) const {
  std::size_t healthy = 0;
  for (const Member &it : membership.Members) {
    const PeerProgress *peer = progressOf(it.Id);
    const bool answers =
        it.Id == Self || (peer && peer->RepairNonce == 0 &&
                          peer->Round + MaxMissedRounds >= Round);
    healthy += !it.Learner && answers ? 1U : 0U;
  }
  return healthy >= membership.quorum();
}

void Replica::stepDownIfRemoved(SteadyTime now) {
  const bool committed = Log.membershipIndex() <= CommitIndex;
  if (committed && !Log.membership().isVoter(Self)) {
    becomeFollower(Hard.Term, std::nullopt, now);
  }
}

} // namespace masticwinch::replication
