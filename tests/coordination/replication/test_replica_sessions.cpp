#include <catch2/catch.hpp>

#include "fuzzing/replication/replica_group.hpp"
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace masticwinch::replication {

namespace {

using fuzzing::ReplicaGroup;

/// A session of three replicas whose messages are recorded.
class Session {
public:
  explicit Session(ReplicaOptions options = {}) : Group(3, 11, options) {
    Group.RecordTranscript = true;
  }

  ReplicaGroup &group() { return Group; }

  void note(const std::string &text) {
    Group.Transcript.push_back("# " + text);
  }

  void run(std::int64_t millis) { Group.run(Milliseconds(millis)); }

  /// Runs without recording until a leader is elected.
  void runUntilLeader() {
    Group.RecordTranscript = false;
    Group.run(Milliseconds(3000));
    Group.RecordTranscript = true;
    REQUIRE(Group.leader().has_value());
  }

  void isolate(std::size_t node) {
    note("replica " + std::to_string(node + 1) + " is cut off");
    for (std::size_t i = 0; i < Group.size(); ++i) {
      Group.network().BlockedLinks.insert({node, i});
      Group.network().BlockedLinks.insert({i, node});
    }
  }

  /// Compares the transcript with the approved file. If MASTICWINCH_APPROVE=1
  /// is set, writes the file instead, for review.
  void approve(const std::string &name) const {
    std::string text;
    for (const std::string &it : Group.Transcript) {
      text += it + "\n";
    }
    text += "# at the end\n" + Group.describeNodes();
    const std::string file = std::string(MASTICWINCH_SOURCE_DIR) +
                             "/tests/approved/replication/" + name + ".txt";
    if (std::getenv("MASTICWINCH_APPROVE") != nullptr) {
      std::ofstream(file) << text;
    }
    std::ifstream in(file);
    const std::string approved{std::istreambuf_iterator<char>(in), {}};
    CHECK(text == approved);
  }

private:
  ReplicaGroup Group;
};

ReplicaOptions smallSnapshots() {
  ReplicaOptions options;
  options.RetainedEntries = 1;
  options.SnapshotChunkBytes = 10;
  return options;
}

} // namespace

TEST_CASE("Session: the first election", "[replication][golden]") {
  Session session;
  session.run(1500);
  REQUIRE(session.group().leader().has_value());
  session.approve("election");
}

TEST_CASE("Session: a leader is isolated and returns",
          "[replication][golden]") {
  Session session;
  session.runUntilLeader();
  const std::size_t old = *session.group().leader();
  session.isolate(old);
  session.group().propose(old, "never accepted");
  session.run(3000);
  REQUIRE(session.group().leader().has_value());
  CHECK(*session.group().leader() != old);
  session.note("a command is accepted, and the old leader returns");
  session.group().propose(*session.group().leader(), "accepted");
  session.group().network() = {};
  session.run(700);
  CHECK(session.group().applied(old) == "accepted\n");
  session.approve("partition-and-return");
}

TEST_CASE("Session: a lagging replica receives a snapshot",
          "[replication][golden]") {
  Session session(smallSnapshots());
  session.runUntilLeader();
  const std::size_t leader = *session.group().leader();
  const std::size_t behind = (leader + 1) % 3;
  session.group().crash(behind);
  for (int i = 0; i < 5; ++i) {
    session.group().propose(leader, "command-" + std::to_string(i));
  }
  session.run(400);
  session.note("the leader drops its log and the replica comes back");
  session.group().compact(leader);
  session.run(50);
  session.group().restart(behind);
  session.run(900);
  CHECK(session.group().applied(behind) == session.group().applied(leader));
  session.approve("snapshot");
}

TEST_CASE("Session: leadership is transferred", "[replication][golden]") {
  Session session;
  session.runUntilLeader();
  const std::size_t old = *session.group().leader();
  session.group().propose(old, "just before");
  session.group().transfer(old);
  session.run(400);
  REQUIRE(session.group().leader().has_value());
  CHECK(*session.group().leader() != old);
  session.approve("handover");
}

TEST_CASE("Session: a second replica fails after a repair",
          "[replication][golden]") {
  Session session;
  session.runUntilLeader();
  const std::size_t leader = *session.group().leader();
  const std::size_t damaged = (leader + 1) % 3;
  const std::size_t lost = (leader + 2) % 3;
  session.group().propose(leader, "kept");
  session.run(400);
  session.note("a record of replica " + std::to_string(damaged + 1) +
               " is damaged");
  session.group().flipBit(damaged, 1);
  session.run(1000);
  CHECK_FALSE(session.group().replica(damaged).repairing());
  session.note("replica " + std::to_string(lost + 1) + " dies");
  session.group().crash(lost);
  session.group().propose(leader, "after");
  session.run(700);
  CHECK(session.group().applied(damaged) == "kept\nafter\n");
  session.approve("repair-and-second-loss");
}

} // namespace masticwinch::replication
