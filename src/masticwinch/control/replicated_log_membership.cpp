#include "masticwinch/control/internal/storage_outcome.hpp"
#include "masticwinch/control/replicated_log.hpp"
#include "masticwinch/control/replicated_log_event.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace masticwinch::control {

using internal::storageErrorOf;
using replication::Member;
using replication::Membership;
using replication::ReplicaId;
using replication::ReplicationError;

namespace {

/// Time after which a replica that no longer asks to join is forgotten.
constexpr Milliseconds JoinCandidateTimeout{10000};

/// Maximum number of addresses kept for senders outside the membership.
constexpr std::size_t MaxLearnedAddresses = 64;

/// Time without a known leader after which a replica asks to join; longer than
/// an election takes.
constexpr Milliseconds LeaderlessTimeout{2500};

/// Maximum number of replicas waiting to join.
constexpr std::size_t MaxJoinCandidates = 16;

/// Returns the name of the error with which a change was refused; empty if it
/// was accepted.
template <class Function> std::string errorNameOf(Function function) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(function());
        return std::string();
      },
      [](ReplicationError error) { return std::string(nameOf(error)); },
      [] { return std::string("unknown error"); });
}

} // namespace

void ReplicatedLog::receive(const protocol::Envelope &envelope) {
  if (envelope.has_replication()) {
    handleReplication(envelope);
  } else if (envelope.has_replica_greeting()) {
    handleGreeting(envelope);
  } else if (envelope.has_replica_hint()) {
    handleHint(envelope.replica_hint());
  } else if (envelope.query_request().has_membership() ||
             envelope.query_request().has_membership_change()) {
    answerMembership(envelope);
  }
}

void ReplicatedLog::handleReplication(const protocol::Envelope &envelope) {
  const protocol::ReplicationMessage &message = envelope.replication();
  const ReplicaId from{message.from_high(), message.from_low()};
  const Member *member = LocalReplica->membership().find(from);
  if (member && member->Name != envelope.sender()) {
    Events.write(ReplicatedLogEvent::SenderRefused,
                 {{"sender", envelope.sender()},
                  {"claims", member->Name},
                  {"address", envelope.reply_address()}});
    return;
  }
  if (!member && !envelope.reply_address().empty()) {
    if (LearnedAddresses.size() >= MaxLearnedAddresses) {
      LearnedAddresses.clear();
    }
    LearnedAddresses[from] = envelope.reply_address();
  }
  LocalReplica->receive(message, Time.now());
  scheduleProcessing();
}

std::string ReplicatedLog::addressOf(ReplicaId id,
                                     const std::string &listed) const {
  const auto it = LearnedAddresses.find(id);
  return listed.empty() && it != LearnedAddresses.end() ? it->second : listed;
}

/// Bootstraps the cell once all initial members are known to be empty.
void ReplicatedLog::bootstrapIfComplete() {
  const bool unused =
      LocalReplica->lastIndex() == 0 && LocalReplica->term() == 0;
  const auto initialMembers = Bootstrap ? Bootstrap->complete() : std::nullopt;
  if (!initialMembers || !unused) {
    return;
  }
  replication::RecoveredState state =
      replication::bootstrapState(*initialMembers);
  replication::WriteBatch batch;
  batch.Hard = state.Hard;
  batch.Entries = state.Entries;
  if (const auto error =
          storageErrorOf([&] { return Storage->write(batch); })) {
    if (!error->isRetryable()) {
      exitOnStorageFailure(*error);
    }
    Events.write(ReplicatedLogEvent::FoundingDelayed,
                 {{"reason", error->text()}});
    return;
  }
  Bootstrap.reset();
  startReplica(std::move(state));
  Events.write(ReplicatedLogEvent::CellFounded,
               {{"members", initialMembers->Members.size()}});
}

void ReplicatedLog::handleGreeting(const protocol::Envelope &envelope) {
  protocol::ReplicaMembership one;
  *one.add_members() = envelope.replica_greeting().replica();
  const Member replica = Membership::fromMessage(one).Members.front();
  if (replica.Name != envelope.sender()) {
    Events.write(ReplicatedLogEvent::SenderRefused,
                 {{"sender", envelope.sender()}, {"claims", replica.Name}});
    return;
  }
  if (Bootstrap) {
    Bootstrap->addIdentity(replica);
    bootstrapIfComplete();
  }
  if (LocalReplica->lastIndex() == 0) {
    return;
  }
  if (Options.Repair && !LocalReplica->isReadyLeader()) {
    sendHint(envelope.reply_address());
    return;
  }
  if (LocalReplica->membership().find(replica.Id)) {
    return;
  }
  if (JoinCandidates.size() >= MaxJoinCandidates &&
      !JoinCandidates.contains(replica.Id)) {
    return;
  }
  const auto [it, added] = JoinCandidates.try_emplace(replica.Id);
  it->second = {replica, Time.now()};
  if (added) {
    Events.write(ReplicatedLogEvent::ReplicaWaiting,
                 {{"name", replica.Name},
                  {"replica", replica.Id.text()},
                  {"address", replica.Address}});
  }
}

/// True for an empty replica. With automatic repair, also true for a replica
/// that knows no leader, since it may have been replaced while it was down.
bool ReplicatedLog::needsToJoin() {
  if (LocalReplica->lastIndex() == 0) {
    return true;
  }
  Bootstrap.reset();
  if (LocalReplica->leader()) {
    LastLeaderKnownAt = Time.now();
  }
  return Options.Repair && Time.now() - LastLeaderKnownAt > LeaderlessTimeout;
}

/// Announces this replica to the others while it needs to join.
void ReplicatedLog::announceSelf() {
  if (!needsToJoin()) {
    return;
  }
  Membership self;
  self.Members.push_back(Options.Self);
  protocol::Envelope envelope;
  *envelope.mutable_replica_greeting()->mutable_replica() =
      self.toMessage().members(0);
  std::set<std::string> addresses = HintedAddresses;
  for (const Member &it : Options.InitialMembers) {
    addresses.insert(it.Address);
  }
  addresses.erase(Options.Self.Address);
  for (const std::string &it : addresses) {
    Outbox.send(it, envelope);
  }
}

/// Sends the addresses of the other members to a replica that wants to join.
void ReplicatedLog::sendHint(const std::string &address) {
  protocol::Envelope envelope;
  for (const std::string &it : otherAddresses()) {
    envelope.mutable_replica_hint()->add_addresses(it);
  }
  Outbox.send(address, std::move(envelope));
}

void ReplicatedLog::handleHint(const protocol::ReplicaHint &hint) {
  if (!needsToJoin()) {
    return;
  }
  for (const std::string &it : hint.addresses()) {
    if (HintedAddresses.size() < MaxLearnedAddresses) {
      HintedAddresses.insert(it);
    }
  }
}

/// Applies the next membership change that repair requires, if any.
void ReplicatedLog::repairMembership() {
  std::erase_if(JoinCandidates, [&](const auto &it) {
    return Time.now() - it.second.LastSeen > JoinCandidateTimeout ||
           LocalReplica->membership().find(it.first);
  });
  if (!LocalReplica->isReadyLeader()) {
    return;
  }
  std::map<ReplicaId, replication::MemberHealth> health;
  for (const Member &it : LocalReplica->membership().Members) {
    health[it.Id] = {LocalReplica->missedRounds(it.Id),
                     LocalReplica->hasCaughtUp(it.Id)};
  }
  std::vector<Member> candidates;
  for (const auto &[id, it] : JoinCandidates) {
    candidates.push_back(it.Replica);
  }
  const auto step =
      replication::nextRepair(*Options.Repair, LocalReplica->membership(),
                              Options.Self.Id, health, candidates);
  if (!step) {
    return;
  }
  const std::string refused = errorNameOf([&]() -> Result<std::uint64_t> {
    switch (step->Kind) {
    case replication::RepairKind::Remove:
      return LocalReplica->remove(step->Replica.Id, Time.now());
    case replication::RepairKind::Promote:
      return LocalReplica->promote(step->Replica.Id, Time.now());
    case replication::RepairKind::Add:
      break;
    }
    return LocalReplica->addLearner(step->Replica, Time.now());
  });
  Events.write(ReplicatedLogEvent::MembershipRepair,
               {{"step", nameOf(step->Kind)},
                {"replica", step->Replica.Name},
                {"refused", refused}});
  scheduleProcessing();
}

/// Promotes learners that have caught up, and removes a member that was
/// replaced by a newer one of the same name.
void ReplicatedLog::promoteLearners() {
  std::erase_if(JoinCandidates, [&](const auto &it) {
    return Time.now() - it.second.LastSeen > JoinCandidateTimeout ||
           LocalReplica->membership().find(it.first);
  });
  if (!LocalReplica->isReadyLeader()) {
    return;
  }
  const Membership membership = LocalReplica->membership();
  for (const Member &it : membership.Members) {
    if (it.Learner && LocalReplica->promote(it.Id, Time.now())) {
      scheduleProcessing();
      return;
    }
    const bool replaced = std::any_of(
        membership.Members.begin(), membership.Members.end(),
        [&](const Member &other) {
          return &other > &it && other.Name == it.Name && !other.Learner;
        });
    if (replaced && LocalReplica->remove(it.Id, Time.now())) {
      scheduleProcessing();
      return;
    }
  }
}

std::string ReplicatedLog::changeMembership(const std::string &add,
                                            const std::string &remove) {
  const std::string refused =
      !add.empty() ? addCandidate(add) : removeByName(remove);
  scheduleProcessing();
  return refused;
}

std::string ReplicatedLog::addCandidate(const std::string &name) {
  for (const auto &[id, it] : JoinCandidates) {
    if (it.Replica.Name == name) {
      const Member replica = it.Replica;
      return errorNameOf(
          [&] { return LocalReplica->addLearner(replica, Time.now()); });
    }
  }
  return LocalReplica->membership().findByName(name)
             ? ""
             : "no replica of this name waits to join";
}

std::string ReplicatedLog::removeByName(const std::string &name) {
  const Member *member = LocalReplica->membership().findByName(name);
  if (!member) {
    return "";
  }
  const ReplicaId id = member->Id;
  return errorNameOf([&] { return LocalReplica->remove(id, Time.now()); });
}

void ReplicatedLog::answerMembership(const protocol::Envelope &envelope) {
  const protocol::QueryRequest &request = envelope.query_request();
  protocol::Envelope answer;
  protocol::QueryReply *reply = answer.mutable_query_reply();
  reply->set_call(request.call());
  reply->set_leader_hint(leaderAddress());
  reply->set_taken(isLeader());
  if (reply->taken()) {
    protocol::MembershipReply *body = reply->mutable_membership();
    if (request.has_membership_change()) {
      body->set_refused(changeMembership(request.membership_change().add(),
                                         request.membership_change().remove()));
    }
    fillMembership(*body);
  }
  Outbox.send(envelope.reply_address(), std::move(answer));
}

void ReplicatedLog::fillMembership(protocol::MembershipReply &reply) const {
  reply.set_commit_index(LocalReplica->commitIndex());
  const protocol::ReplicaMembership listed =
      LocalReplica->membership().toMessage();
  for (const protocol::ReplicaMember &it : listed.members()) {
    const ReplicaId id{it.id_high(), it.id_low()};
    protocol::MemberStatus *status = reply.add_members();
    *status->mutable_member() = it;
    status->set_leader(LocalReplica->leader() == id);
    const replication::PeerProgress *peer = LocalReplica->progressOf(id);
    status->set_match_index(peer ? peer->Match : LocalReplica->lastIndex());
    status->set_repairing(peer && peer->RepairNonce != 0);
  }
  for (const auto &[id, it] : JoinCandidates) {
    Membership one;
    one.Members.push_back(it.Replica);
    protocol::MemberStatus *status = reply.add_members();
    *status->mutable_member() = one.toMessage().members(0);
    status->set_waiting(true);
  }
}

} // namespace masticwinch::control
