#include "masticwinch/coordination/replication/replica.hpp"

#include <catch2/catch.hpp>

#include <utility>

namespace masticwinch::replication {

namespace {

const ReplicaId Follower{1, 1};
const ReplicaId Leader{2, 2};

protocol::ReplicationMessage messageOfLeader() {
  protocol::ReplicationMessage message;
  message.set_from_high(Leader.High);
  message.set_from_low(Leader.Low);
  message.set_to_low(Follower.Low);
  message.set_term(1);
  return message;
}

/// A snapshot in one chunk.
protocol::ReplicationMessage snapshotAt(std::uint64_t index) {
  protocol::ReplicationMessage message = messageOfLeader();
  protocol::SnapshotChunk *chunk = message.mutable_snapshot_chunk();
  chunk->set_index(index);
  chunk->set_term(1);
  chunk->set_data("state");
  chunk->set_total_bytes(chunk->data().size());
  chunk->set_checksum(snapshotChecksum(chunk->data()));
  chunk->set_data_checksum(snapshotChecksum(chunk->data()));
  return message;
}

/// Committed entries behind an index.
protocol::ReplicationMessage entriesAfter(std::uint64_t index,
                                          std::uint64_t count) {
  protocol::ReplicationMessage message = messageOfLeader();
  protocol::AppendRequest *request = message.mutable_append_request();
  request->set_prev_index(index);
  request->set_prev_term(index > 0 ? 1 : 0);
  request->set_commit_index(index + count);
  for (std::uint64_t i = 1; i <= count; ++i) {
    protocol::LogEntry *entry = request->add_entries();
    entry->set_index(index + i);
    entry->set_term(1);
    entry->set_kind(protocol::COMMAND);
    entry->set_data("command");
  }
  return message;
}

} // namespace

// Guards against a stored log whose entries precede its base after a write had
// to wait for a full disk.
TEST_CASE("A log that is reset behind a later snapshot holds only entries "
          "behind that",
          "[replication]") {
  const SteadyTime now{std::chrono::seconds(100)};
  Replica replica({}, Follower, {}, std::mt19937_64(7), now);
  replica.receive(entriesAfter(0, 0), now);
  const auto first = replica.takeEffects(now).Write;
  REQUIRE(first);
  replica.receive(snapshotAt(10), now);
  replica.receive(entriesAfter(10, 3), now);
  const Effects waiting = replica.takeEffects(now);
  CHECK_FALSE(waiting.Write);
  REQUIRE(waiting.Committed.size() == 3);
  replica.compact(12, "later state");
  replica.persisted(first->Sequence, now);
  const auto second = replica.takeEffects(now).Write;
  REQUIRE(second);
  REQUIRE(second->NewSnapshot);
  CHECK(second->NewSnapshot->Index == 12);
  CHECK(second->ResetLog);
  REQUIRE(second->Entries.size() == 1);
  CHECK(second->Entries.front().index() == 13);
}

} // namespace masticwinch::replication
