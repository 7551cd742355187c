#include "masticwinch/coordination/replication/replica.hpp"

#include <catch2/catch.hpp>

namespace masticwinch::replication {

namespace {

const ReplicaId Voter{1, 1};
const ReplicaId Leader{2, 2};
const ReplicaId Candidate{3, 3};

protocol::ReplicationMessage messageOf(ReplicaId from, std::uint64_t term) {
  protocol::ReplicationMessage message;
  message.set_from_high(from.High);
  message.set_from_low(from.Low);
  message.set_to_low(Voter.Low);
  message.set_term(term);
  return message;
}

protocol::ReplicationMessage heartbeat(std::uint64_t term) {
  protocol::ReplicationMessage message = messageOf(Leader, term);
  message.mutable_append_request();
  return message;
}

protocol::ReplicationMessage refusedPreVote(std::uint64_t term) {
  protocol::ReplicationMessage message = messageOf(Candidate, term);
  message.mutable_vote_reply()->set_pre_vote(true);
  return message;
}

protocol::ReplicationMessage voteRequest(std::uint64_t term, bool transfer) {
  protocol::ReplicationMessage message = messageOf(Candidate, term);
  message.mutable_vote_request()->set_transfer(transfer);
  return message;
}

/// Whether a voter that heard from the leader of term 1 grants its vote in
/// term 2, which it adopted from a refusal, after a time.
bool grantsVote(Milliseconds after, bool transfer) {
  SteadyTime now{std::chrono::seconds(100)};
  Replica replica({}, Voter, {}, std::mt19937_64(7), now);
  replica.receive(heartbeat(1), now);
  replica.receive(refusedPreVote(2), now);
  now += after;
  replica.receive(voteRequest(2, transfer), now);
  bool granted = false;
  for (int i = 0; i < 3; ++i) {
    const Effects effects = replica.takeEffects(now);
    for (const OutgoingMessage &it : effects.Messages) {
      granted = granted || (it.Message.has_vote_reply() &&
                            it.Message.vote_reply().granted());
    }
    if (effects.Write) {
      replica.persisted(effects.Write->Sequence, now);
    }
  }
  return granted;
}

} // namespace

// Guards against a leader that is elected while the lease of another counts the
// voter's answer.
TEST_CASE("No vote is granted shortly after a leader was heard, also in a term "
          "that is known already",
          "[replication]") {
  CHECK_FALSE(grantsVote(Milliseconds(10), false));
  CHECK(grantsVote(Milliseconds(1000), false));
  CHECK(grantsVote(Milliseconds(10), true));
}

} // namespace masticwinch::replication
