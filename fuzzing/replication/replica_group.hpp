#pragma once

#include "masticwinch/coordination/replication/replica.hpp"

#include "fuzzing/replication/memory_disk.hpp"
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticwinch::fuzzing {

/// Thrown when the group violates an invariant; the text says what was
/// observed.
struct Violation {
  std::string Text;
};

/// Network faults between replicas.
struct NetworkFaults {
  /// Probabilities in thousandths.
  unsigned LossPermille = 0;
  unsigned DuplicatePermille = 0;
  Milliseconds MaxDelay{10};
  /// Delivers messages in the order in which they were sent, as one connection
  /// does; otherwise those due at the same time are shuffled.
  bool InOrder = false;
  /// Pairs of sender and receiver between which every message is lost.
  std::set<std::pair<std::size_t, std::size_t>> BlockedLinks;
};

/// Simulates replicas with in-memory disks and a faulty network in virtual
/// time, and checks them against the list of accepted commands. Throws
/// `Violation`.
class ReplicaGroup {
public:
  ReplicaGroup(std::size_t count, std::uint64_t seed,
               replication::ReplicaOptions options);

  /// Advances virtual time.
  void run(Milliseconds time);

  std::size_t size() const { return Nodes.size(); }
  NetworkFaults &network() { return Faults; }

  /// Proposes a command to a node; returns false if the node refused it.
  bool propose(std::size_t node, const std::string &command);
  void read(std::size_t node);
  void transfer(std::size_t node);
  void removeMember(std::size_t leader, std::size_t node);

  /// Stops a node; unsynced data is lost.
  void crash(std::size_t node);
  void restart(std::size_t node);
  /// Restarts a node with an empty disk, as a new replica.
  void wipe(std::size_t node);
  /// Restarts a node after damaging one of its stored entries.
  void flipBit(std::size_t node, std::size_t position);
  void pause(std::size_t node) { Nodes[node].Paused = true; }
  void resume(std::size_t node) { Nodes[node].Paused = false; }
  void compact(std::size_t node);

  /// Removes all network faults, and restarts or resumes every node.
  void healAll();

  /// True if a quorum of intact voters remains when the node loses its data.
  bool canLoseNode(std::size_t node) const;

  /// The leader of the highest term; nothing if there is none.
  std::optional<std::size_t> leader() const;
  const replication::Replica &replica(std::size_t node) const {
    return *Nodes[node].Instance;
  }
  bool isUp(std::size_t node) const { return Nodes[node].Instance != nullptr; }

  /// Accepted commands by log index.
  const std::map<std::uint64_t, std::string> &accepted() const {
    return Accepted;
  }
  /// Commands applied by a node.
  const std::string &applied(std::size_t node) const {
    return Nodes[node].Applied;
  }
  /// Describes role, term, log and membership of every node, for failure
  /// messages.
  std::string describeNodes() const;
  std::size_t confirmedReads() const { return ConfirmedReads; }
  /// Size of the log entries sent to a node so far, lost ones included.
  std::size_t entryBytesSentTo(std::size_t node) const {
    return Nodes[node].EntryBytesSent;
  }

  /// Messages of the session, if `RecordTranscript` is set.
  std::vector<std::string> Transcript;
  bool RecordTranscript = false;

private:
  struct Node {
    replication::ReplicaId Id;
    MemoryDisk Disk;
    std::unique_ptr<replication::Replica> Instance;
    std::optional<replication::WriteBatch> Writing;
    SteadyTime WriteDoneAt;
    bool Paused = false;
    /// Rate of the node's clock in thousandths of real time.
    std::int64_t ClockPermille = 1000;
    /// Applied commands, concatenated; the content of a snapshot.
    std::string Applied;
    std::uint64_t AppliedIndex = 0;
    std::size_t EntryBytesSent = 0;
  };
  struct Packet {
    SteadyTime DueAt;
    std::uint64_t Number;
    std::size_t From;
    std::size_t To;
    protocol::ReplicationMessage Message;
  };
  struct PendingRead {
    std::size_t Node;
    std::uint64_t AcceptedIndex;
  };

  SteadyTime localTime(const Node &node) const;
  replication::ReplicaId newId();
  void start(Node &node);
  void step();
  void deliver();
  void stepNode(std::size_t index);
  void collect(std::size_t index);
  void apply(Node &node, const protocol::LogEntry &entry);
  void route(std::size_t from, const replication::OutgoingMessage &message);
  std::optional<std::size_t> nodeOf(replication::ReplicaId id) const;
  bool randomChance(unsigned permille);
  void checkLeaders();
  void maintainMembership();
  void record(std::size_t from, std::size_t to,
              const protocol::ReplicationMessage &message);

  replication::ReplicaOptions Options;
  std::mt19937_64 Engine;
  SteadyTime Now{};
  std::vector<Node> Nodes;
  std::vector<Packet> Packets;
  NetworkFaults Faults;
  std::map<std::uint64_t, std::string> Accepted;
  std::map<std::uint64_t, replication::ReplicaId> LeaderOfTerm;
  std::map<std::uint64_t, PendingRead> PendingReads;
  std::uint64_t NextRead = 1;
  std::uint64_t NextPacket = 0;
  std::size_t ConfirmedReads = 0;
};

} // namespace masticwinch::fuzzing
