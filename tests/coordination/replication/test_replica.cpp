#include "masticwinch/coordination/replication/bootstrap.hpp"

#include <catch2/catch.hpp>

#include "fuzzing/replication/replica_group.hpp"

namespace masticwinch::replication {

using fuzzing::NetworkFaults;
using fuzzing::ReplicaGroup;

namespace {

/// Returns a group that has elected a leader.
ReplicaGroup groupWithLeader(std::size_t count, ReplicaOptions options = {}) {
  ReplicaGroup group(count, 7, options);
  group.run(Milliseconds(3000));
  REQUIRE(group.leader().has_value());
  return group;
}

std::size_t nodeOtherThan(std::size_t node) { return node == 0 ? 1 : 0; }

void isolate(ReplicaGroup &group, std::size_t node) {
  for (std::size_t i = 0; i < group.size(); ++i) {
    group.network().BlockedLinks.insert({node, i});
    group.network().BlockedLinks.insert({i, node});
  }
}

ReplicaOptions smallLog() {
  ReplicaOptions options;
  options.RetainedEntries = 1;
  options.SnapshotChunkBytes = 8;
  return options;
}

} // namespace

TEST_CASE("An isolated replica does not depose the leader on return",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(3);
  const std::size_t leader = *group.leader();
  const std::uint64_t term = group.replica(leader).term();
  isolate(group, nodeOtherThan(leader));
  group.run(Milliseconds(60000));
  group.network() = {};
  group.run(Milliseconds(3000));
  CHECK(group.leader() == leader);
  CHECK(group.replica(leader).term() == term);
}

TEST_CASE("An isolated leader steps down and confirms no read",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(3);
  const std::size_t old = *group.leader();
  isolate(group, old);
  group.read(old);
  group.run(Milliseconds(5000));
  CHECK(group.confirmedReads() == 0);
  CHECK(group.replica(old).role() != Role::Leader);
  CHECK(group.leader().has_value());
}

TEST_CASE("Leadership is transferred without an election timeout",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(5);
  const std::size_t old = *group.leader();
  group.transfer(old);
  CHECK_FALSE(group.propose(old, "refused during the transfer"));
  group.run(Milliseconds(300));
  REQUIRE(group.leader().has_value());
  CHECK(*group.leader() != old);
}

TEST_CASE("No accepted command is lost when replicas fail right after a repair",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(3, smallLog());
  const std::size_t leader = *group.leader();
  const std::size_t first = (leader + 1) % 3;
  const std::size_t second = (leader + 2) % 3;
  REQUIRE(group.propose(leader, "kept"));
  group.run(Milliseconds(1000));
  group.compact(leader);
  group.wipe(first);
  group.run(Milliseconds(5000));
  REQUIRE(
      group.replica(first).membership().isVoter(group.replica(first).self()));
  REQUIRE(group.replica(first).membership().voterCount() == 3);
  group.crash(second);
  group.crash(leader);
  group.restart(second);
  group.run(Milliseconds(5000));
  REQUIRE(group.leader().has_value());
  CHECK(group.applied(first) == "kept\n");
}

TEST_CASE("A replica with a damaged log neither votes nor leads until repaired",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(3);
  const std::size_t leader = *group.leader();
  const std::size_t damaged = nodeOtherThan(leader);
  const std::size_t third = 3 - leader - damaged;
  REQUIRE(group.propose(leader, "kept"));
  group.run(Milliseconds(1000));
  group.crash(leader);
  group.flipBit(damaged, 1);
  group.run(Milliseconds(10000));
  CHECK_FALSE(group.leader().has_value());
  CHECK(group.replica(damaged).repairing());
  CHECK_FALSE(group.replica(third).role() == Role::Leader);
  group.restart(leader);
  group.run(Milliseconds(5000));
  CHECK_FALSE(group.replica(damaged).repairing());
  CHECK(group.applied(damaged) == "kept\n");
}

TEST_CASE("A log damaged before the snapshot continues after the snapshot",
          "[replication]") {
  ReplicaGroup group = groupWithLeader(3, smallLog());
  const std::size_t leader = *group.leader();
  const std::size_t damaged = nodeOtherThan(leader);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(group.propose(leader, "c" + std::to_string(i)));
  }
  group.run(Milliseconds(1000));
  group.compact(damaged);
  group.compact(leader);
  group.run(Milliseconds(1000));
  group.flipBit(damaged, 0);
  group.run(Milliseconds(5000));
  CHECK_FALSE(group.replica(damaged).repairing());
  CHECK(group.applied(damaged) == group.applied(leader));
}

TEST_CASE("A replica that was cut off is sent the missing entries only once",
          "[replication]") {
  constexpr std::size_t CommandBytes = 20000;
  constexpr int Commands = 400;
  ReplicaGroup group = groupWithLeader(5);
  const std::size_t leader = *group.leader();
  const std::size_t cutOff = nodeOtherThan(leader);
  NetworkFaults connections;
  connections.MaxDelay = Milliseconds(1);
  connections.InOrder = true;
  group.network() = connections;
  isolate(group, cutOff);
  const std::size_t before = group.entryBytesSentTo(cutOff);
  for (int i = 0; i < Commands; ++i) {
    REQUIRE(group.propose(leader, std::string(CommandBytes, 'x')));
    group.run(Milliseconds(10));
  }
  const std::size_t whileCutOff = group.entryBytesSentTo(cutOff) - before;
  // The path is back, but messages wait before the replica receives them.
  group.network() = connections;
  group.pause(cutOff);
  for (int i = 0; i < 100; ++i) {
    REQUIRE(group.propose(leader, std::string(CommandBytes, 'x')));
    group.run(Milliseconds(10));
  }
  group.resume(cutOff);
  group.run(Milliseconds(5000));
  const std::size_t afterwards =
      group.entryBytesSentTo(cutOff) - before - whileCutOff;
  const ReplicaOptions options;
  const std::size_t window = options.MaxBytesInFlight + options.MaxMessageBytes;
  CHECK(group.applied(cutOff) == group.applied(leader));
  CHECK(whileCutOff <= window);
  CHECK(afterwards <= (Commands + 100) * CommandBytes + window);
}

TEST_CASE("A leader without a quorum keeps few uncommitted bytes",
          "[replication]") {
  constexpr std::size_t CommandBytes = 512 * 1024;
  ReplicaGroup group = groupWithLeader(3);
  const std::size_t leader = *group.leader();
  isolate(group, leader);
  const ReplicaOptions options;
  std::size_t accepted = 0;
  while (accepted <= 2 * options.MaxUncommittedBytes &&
         group.propose(leader, std::string(CommandBytes, 'x'))) {
    accepted += CommandBytes;
  }
  CHECK(accepted <= options.MaxUncommittedBytes + CommandBytes);
}

TEST_CASE("A membership change waits for the previous one", "[replication]") {
  ReplicaGroup group = groupWithLeader(5);
  const std::size_t leader = *group.leader();
  group.removeMember(leader, (leader + 1) % 5);
  group.removeMember(leader, (leader + 2) % 5);
  CHECK(group.replica(leader).membership().voterCount() == 4);
}

TEST_CASE("Malformed or misaddressed messages have no effect",
          "[replication]") {
  const ReplicaId self{1, 1};
  Membership initialMembers;
  initialMembers.Members = {{self, "a", "", "", false},
                            {{2, 2}, "b", "", "", false}};
  const SteadyTime now{};
  Replica replica({}, self, bootstrapState(initialMembers), std::mt19937_64(1),
                  now);
  protocol::ReplicationMessage message;
  message.set_from_high(2);
  message.set_from_low(2);
  message.set_term(9);
  message.set_to_low(self.Low);
  SECTION("no body") {}
  SECTION("another identity") {
    message.set_to_low(77);
    message.mutable_append_request();
  }
  SECTION("entries out of order") {
    message.set_term(1);
    message.mutable_append_request()->add_entries()->set_index(5);
  }
  replica.receive(message, now);
  const Effects effects = replica.takeEffects(now);
  CHECK(effects.Messages.empty());
  CHECK_FALSE(effects.Write);
  CHECK(replica.lastIndex() == 1);
  REQUIRE(effects.Events.size() == 1);
  CHECK(effects.Events[0].Kind == ReplicaEventKind::MessageRefused);
}

} // namespace masticwinch::replication
