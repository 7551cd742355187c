#include "masticwinch/coordination/replication/replica.hpp"

namespace masticwinch::replication {

void Replica::becomeFollower(std::uint64_t term,
                             std::optional<ReplicaId> leader, SteadyTime now) {
  const bool changed = CurrentRole != Role::Follower || Leader != leader;
  const bool wasLeader = CurrentRole == Role::Leader;
  if (term > Hard.Term) {
    Hard = {term, std::nullopt, Hard.Repairing};
    HardDirty = true;
  }
  CurrentRole = Role::Follower;
  Leader = leader;
  Votes.clear();
  Peers.clear();
  PendingTransfer.reset();
  failReads();
  if (wasLeader) {
    LastLeaderContact = now;
    resetElectionTimer(now);
  }
  if (changed) {
    recordEvent(ReplicaEventKind::RoleChanged, leader ? leader->text() : "");
  }
}

void Replica::resetElectionTimer(SteadyTime now) {
  std::uniform_int_distribution<std::int64_t> timeout(
      Options.ElectionTimeoutMin.count(), Options.ElectionTimeoutMax.count());
  ElectionDeadline = now + Milliseconds(timeout(Engine));
}

void Replica::startPreVote(SteadyTime now) {
  CurrentRole = Role::PreCandidate;
  Leader.reset();
  Votes = {Self};
  resetElectionTimer(now);
  recordEvent(ReplicaEventKind::RoleChanged);
  requestVotes(true, false);
  countVotes(now);
}

void Replica::startElection(bool transfer, SteadyTime now) {
  CurrentRole = Role::Candidate;
  Leader.reset();
  Hard = {Hard.Term + 1, Self, false};
  HardDirty = true;
  Votes.clear();
  resetElectionTimer(now);
  recordEvent(ReplicaEventKind::RoleChanged);
  requestVotes(false, transfer);
}

void Replica::requestVotes(bool preVote, bool transfer) {
  for (const Member &it : Log.membership().Members) {
    if (it.Learner || it.Id == Self) {
      continue;
    }
    protocol::ReplicationMessage message = makeMessage();
    message.set_term(preVote ? Hard.Term + 1 : Hard.Term);
    protocol::VoteRequest *request = message.mutable_vote_request();
    request->set_pre_vote(preVote);
    request->set_transfer(transfer);
    request->set_last_index(Log.lastIndex());
    request->set_last_term(Log.lastTerm());
    if (preVote) {
      send(it.Id, std::move(message));
    } else {
      sendAfterSync(it.Id, std::move(message));
    }
  }
}

void Replica::countVotes(SteadyTime now) {
  std::size_t granted = 0;
  for (ReplicaId id : Votes) {
    granted += Log.membership().isVoter(id) ? 1U : 0U;
  }
  if (granted < Log.membership().quorum()) {
    return;
  }
  if (CurrentRole == Role::PreCandidate) {
    startElection(false, now);
  } else if (CurrentRole == Role::Candidate) {
    becomeLeader(now);
  }
}

bool Replica::hasRecentLeaderContact(SteadyTime now) const {
  return CurrentRole == Role::Leader ||
         now - LastLeaderContact < Options.ElectionTimeoutMin;
}

bool Replica::isUpToDate(const protocol::VoteRequest &request) const {
  if (request.last_term() != Log.lastTerm()) {
    return request.last_term() > Log.lastTerm();
  }
  return request.last_index() >= Log.lastIndex();
}

/// Compares the message's term with the current term and adopts a higher one.
/// Returns false if the message must not be processed further.
bool Replica::acceptTerm(const protocol::ReplicationMessage &message,
                         ReplicaId from, SteadyTime now) {
  const bool preVoteRequest =
      message.has_vote_request() && message.vote_request().pre_vote();
  const bool preVoteGrant = message.has_vote_reply() &&
                            message.vote_reply().pre_vote() &&
                            message.vote_reply().granted();
  if (preVoteRequest || preVoteGrant) {
    return true;
  }
  if (message.term() > Hard.Term) {
    const bool request = message.has_vote_request();
    if (request && !message.vote_request().transfer() &&
        hasRecentLeaderContact(now)) {
      return false;
    }
    if (CurrentRole == Role::Leader && !Log.membership().find(from)) {
      return false;
    }
    const bool fromLeader =
        message.has_append_request() || message.has_snapshot_chunk();
    becomeFollower(message.term(),
                   fromLeader ? std::optional(from) : std::nullopt, now);
    return true;
  }
  if (message.term() == Hard.Term) {
    return true;
  }
  if (message.has_append_request() || message.has_snapshot_chunk()) {
    protocol::ReplicationMessage reply = makeMessage();
    reply.mutable_append_reply()->set_match_index(CommitIndex);
    sendAfterSync(from, std::move(reply));
  }
  return false;
}

void Replica::handleVoteRequest(const protocol::ReplicationMessage &message,
                                ReplicaId from, SteadyTime now) {
  const protocol::VoteRequest &request = message.vote_request();
  protocol::ReplicationMessage reply = makeMessage();
  reply.mutable_vote_reply()->set_pre_vote(request.pre_vote());
  if (repairing()) {
    return;
  }
  if (request.pre_vote()) {
    const bool granted = message.term() > Hard.Term && isUpToDate(request) &&
                         !hasRecentLeaderContact(now);
    reply.mutable_vote_reply()->set_granted(granted);
    if (granted) {
      reply.set_term(message.term());
    }
    send(from, std::move(reply));
    return;
  }
  // The term may have been adopted from another message than this request, so
  // that the contact with a leader was not checked before.
  const bool mayVote =
      !Hard.Vote && (request.transfer() || !hasRecentLeaderContact(now));
  const bool granted = (mayVote || Hard.Vote == from) && isUpToDate(request);
  reply.mutable_vote_reply()->set_granted(granted);
  if (granted && !Hard.Vote) {
    Hard.Vote = from;
    HardDirty = true;
  }
  if (granted) {
    if (CurrentRole == Role::PreCandidate) {
      becomeFollower(Hard.Term, std::nullopt, now);
    }
    resetElectionTimer(now);
  }
  sendAfterSync(from, std::move(reply));
}

void Replica::handleVoteReply(const protocol::ReplicationMessage &message,
                              ReplicaId from, SteadyTime now) {
  const protocol::VoteReply &reply = message.vote_reply();
  if (!reply.granted()) {
    return;
  }
  const bool preVote = CurrentRole == Role::PreCandidate && reply.pre_vote() &&
                       message.term() == Hard.Term + 1;
  const bool vote = CurrentRole == Role::Candidate && !reply.pre_vote() &&
                    message.term() == Hard.Term;
  if (preVote || vote) {
    Votes.insert(from);
    countVotes(now);
  }
}

void Replica::handleTransferRequest(ReplicaId from, SteadyTime now) {
  const bool follows = CurrentRole == Role::Follower && Leader == from;
  if (follows && Log.membership().isVoter(Self) && !repairing() && Electable) {
    startElection(true, now);
  }
}

} // namespace masticwinch::replication
