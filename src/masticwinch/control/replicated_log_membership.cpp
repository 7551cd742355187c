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

/// A replica that stopped asking to join is forgotten after this time.
constexpr Milliseconds WaitingLimit{10000};

/// Senders outside the membership whose addresses are kept.
constexpr std::size_t MaxLearnedAddresses = 64;

/// A replica that has known no leader for this long asks to join: longer than
/// an election takes.
constexpr Milliseconds LeaderlessLimit{2500};

/// Replicas that wait to join at the same time.
constexpr std::size_t MaxWaiting = 16;

/// The name of the error of a refused change; empty if it was taken.
template <class Function> std::string refusalOf(Function function) {
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
    takeMessage(envelope);
  } else if (envelope.has_replica_greeting()) {
    takeGreeting(envelope);
  } else if (envelope.has_replica_hint()) {
    takeHint(envelope.replica_hint());
  } else if (envelope.query_request().has_membership() ||
             envelope.query_request().has_membership_change()) {
    answerMembership(envelope);
  }
}

void ReplicatedLog::takeMessage(const protocol::Envelope &envelope) {
  const protocol::ReplicationMessage &message = envelope.replication();
  const ReplicaId from{message.from_high(), message.from_low()};
  const Member *member = Machine->membership().find(from);
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
  Machine->receive(message, Time.now());
  schedulePump();
}

std::string ReplicatedLog::addressOf(ReplicaId id,
                                     const std::string &listed) const {
  const auto it = LearnedAddresses.find(id);
  return listed.empty() && it != LearnedAddresses.end() ? it->second : listed;
}

/// Founds the cell once all initial members are known to be empty.
void ReplicatedLog::bootstrapIfComplete() {
  const bool untouched = Machine->lastIndex() == 0 && Machine->term() == 0;
  const auto initialMembers = Bootstrap ? Bootstrap->complete() : std::nullopt;
  if (!initialMembers || !untouched) {
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
      failStorage(*error);
    }
    Events.write(ReplicatedLogEvent::FoundingDelayed,
                 {{"reason", error->text()}});
    return;
  }
  Bootstrap.reset();
  startMachine(std::move(state));
  Events.write(ReplicatedLogEvent::CellFounded,
               {{"members", initialMembers->Members.size()}});
}

void ReplicatedLog::takeGreeting(const protocol::Envelope &envelope) {
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
  if (Machine->lastIndex() == 0) {
    return;
  }
  if (Options.Repair && !Machine->isReadyLeader()) {
    sendHint(envelope.reply_address());
    return;
  }
  if (Machine->membership().find(replica.Id)) {
    return;
  }
  if (Waiting.size() >= MaxWaiting && !Waiting.contains(replica.Id)) {
    return;
  }
  const auto [it, added] = Waiting.try_emplace(replica.Id);
  it->second = {replica, Time.now()};
  if (added) {
    Events.write(ReplicatedLogEvent::ReplicaWaiting,
                 {{"name", replica.Name},
                  {"replica", replica.Id.text()},
                  {"address", replica.Address}});
  }
}

/// True for an empty replica, and, where the leader mends the membership, for
/// one that hears of no leader: it may have been replaced while it was away.
bool ReplicatedLog::needsToJoin() {
  if (Machine->lastIndex() == 0) {
    return true;
  }
  Bootstrap.reset();
  if (Machine->leader()) {
    LeaderKnownAt = Time.now();
  }
  return Options.Repair && Time.now() - LeaderKnownAt > LeaderlessLimit;
}

/// Tells others of this replica while it needs to join.
void ReplicatedLog::greet() {
  if (!needsToJoin()) {
    return;
  }
  Membership self;
  self.Members.push_back(Options.Self);
  protocol::Envelope envelope;
  *envelope.mutable_replica_greeting()->mutable_replica() =
      self.toMessage().members(0);
  std::set<std::string> addresses = Hints;
  for (const Member &it : Options.InitialMembers) {
    addresses.insert(it.Address);
  }
  addresses.erase(Options.Self.Address);
  for (const std::string &it : addresses) {
    Outbox.send(it, envelope);
  }
}

/// Tells a replica that wants to join where the others are.
void ReplicatedLog::sendHint(const std::string &address) {
  protocol::Envelope envelope;
  for (const std::string &it : otherAddresses()) {
    envelope.mutable_replica_hint()->add_addresses(it);
  }
  Outbox.send(address, std::move(envelope));
}

void ReplicatedLog::takeHint(const protocol::ReplicaHint &hint) {
  if (!needsToJoin()) {
    return;
  }
  for (const std::string &it : hint.addresses()) {
    if (Hints.size() < MaxLearnedAddresses) {
      Hints.insert(it);
    }
  }
}

/// Makes the next change that the membership needs, if there is one.
void ReplicatedLog::repairMembership() {
  std::erase_if(Waiting, [&](const auto &it) {
    return Time.now() - it.second.LastSeen > WaitingLimit ||
           Machine->membership().find(it.first);
  });
  if (!Machine->isReadyLeader()) {
    return;
  }
  std::map<ReplicaId, replication::MemberHealth> health;
  for (const Member &it : Machine->membership().Members) {
    health[it.Id] = {Machine->missedRounds(it.Id), Machine->hasCaughtUp(it.Id)};
  }
  std::vector<Member> waiting;
  for (const auto &[id, it] : Waiting) {
    waiting.push_back(it.Replica);
  }
  const auto step = replication::nextRepair(
      *Options.Repair, Machine->membership(), Options.Self.Id, health, waiting);
  if (!step) {
    return;
  }
  const std::string refused = refusalOf([&]() -> Result<std::uint64_t> {
    switch (step->Kind) {
    case replication::RepairKind::Remove:
      return Machine->remove(step->Replica.Id, Time.now());
    case replication::RepairKind::Promote:
      return Machine->promote(step->Replica.Id, Time.now());
    case replication::RepairKind::Add:
      break;
    }
    return Machine->addLearner(step->Replica, Time.now());
  });
  Events.write(ReplicatedLogEvent::MembershipRepair,
               {{"step", nameOf(step->Kind)},
                {"replica", step->Replica.Name},
                {"refused", refused}});
  schedulePump();
}

/// Makes learners that caught up voters, and removes a member that was replaced
/// by a newer one of the same name.
void ReplicatedLog::settleLearners() {
  std::erase_if(Waiting, [&](const auto &it) {
    return Time.now() - it.second.LastSeen > WaitingLimit ||
           Machine->membership().find(it.first);
  });
  if (!Machine->isReadyLeader()) {
    return;
  }
  const Membership membership = Machine->membership();
  for (const Member &it : membership.Members) {
    if (it.Learner && Machine->promote(it.Id, Time.now())) {
      schedulePump();
      return;
    }
    const bool replaced = std::any_of(
        membership.Members.begin(), membership.Members.end(),
        [&](const Member &other) {
          return &other > &it && other.Name == it.Name && !other.Learner;
        });
    if (replaced && Machine->remove(it.Id, Time.now())) {
      schedulePump();
      return;
    }
  }
}

std::string ReplicatedLog::changeMembership(const std::string &add,
                                            const std::string &remove) {
  const std::string refused =
      !add.empty() ? addWaiting(add) : removeNamed(remove);
  schedulePump();
  return refused;
}

std::string ReplicatedLog::addWaiting(const std::string &name) {
  for (const auto &[id, it] : Waiting) {
    if (it.Replica.Name == name) {
      const Member replica = it.Replica;
      return refusalOf(
          [&] { return Machine->addLearner(replica, Time.now()); });
    }
  }
  return Machine->membership().findByName(name)
             ? ""
             : "no replica of this name waits to join";
}

std::string ReplicatedLog::removeNamed(const std::string &name) {
  const Member *member = Machine->membership().findByName(name);
  if (!member) {
    return "";
  }
  const ReplicaId id = member->Id;
  return refusalOf([&] { return Machine->remove(id, Time.now()); });
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
  reply.set_commit_index(Machine->commitIndex());
  const protocol::ReplicaMembership listed = Machine->membership().toMessage();
  for (const protocol::ReplicaMember &it : listed.members()) {
    const ReplicaId id{it.id_high(), it.id_low()};
    protocol::MemberStatus *status = reply.add_members();
    *status->mutable_member() = it;
    status->set_leader(Machine->leader() == id);
    const replication::PeerProgress *peer = Machine->progressOf(id);
    status->set_match_index(peer ? peer->Match : Machine->lastIndex());
    status->set_repairing(peer && peer->RepairNonce != 0);
  }
  for (const auto &[id, it] : Waiting) {
    Membership one;
    one.Members.push_back(it.Replica);
    protocol::MemberStatus *status = reply.add_members();
    *status->mutable_member() = one.toMessage().members(0);
    status->set_waiting(true);
  }
}

} // namespace masticwinch::control
