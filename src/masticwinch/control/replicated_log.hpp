#pragma once

#include "masticwinch/control/command_log.hpp"
#include "masticwinch/coordination/replication/bootstrap.hpp"
#include "masticwinch/coordination/replication/membership_repair.hpp"
#include "masticwinch/coordination/replication/replica.hpp"
#include "masticwinch/storage/replica_storage.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {
class EventLog;
} // namespace masticwinch

namespace masticwinch::protocol {
class Envelope;
class MembershipReply;
class ReplicaHint;
} // namespace masticwinch::protocol

namespace masticwinch::peers {
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::control {

struct ReplicatedLogOptions {
  storage::StorageOptions Storage;
  replication::ReplicaOptions Replica;
  /// Name, address and data centre of this replica; its identity comes from the
  /// data folder.
  replication::Member Self;
  /// Names and addresses of the cell's initial members.
  std::vector<replication::Member> InitialMembers;
  /// Committed entries after which the state is stored anew and older entries
  /// are dropped.
  std::uint64_t SnapshotEntries = 5000;
  /// A write that takes longer than this makes a leader hand over.
  Milliseconds DiskStallTimeout{600};
  /// Whether an empty replica may found the cell with the initial members. One
  /// that comes back with an empty folder may not.
  bool MayBootstrap = true;
  /// Set if the leader mends the membership by itself; otherwise operators add
  /// and remove replicas.
  std::optional<replication::RepairOptions> Repair;
};

/// What the log asks of the replicated state. All run on the control thread.
struct ReplicatedLogHandlers {
  AppliedHandler Applied;
  /// Replaces the state.
  std::function<void(const std::string &state)> Restored;
  /// The state after the last applied record.
  std::function<std::string()> Snapshot;
  /// This replica leads, or does so again after a lapse, and has applied all
  /// that was accepted before.
  std::function<void()> LeaderStarted;
};

/// Runs a replica: messages through the mailbox, storage on a thread of its
/// own, and the rest on the control thread. Ends the process when a sync fails.
class ReplicatedLog {
public:
  /// Opens the data folder. Throws `std::runtime_error` with the reason if it
  /// can't be used.
  ReplicatedLog(ReplicatedLogOptions options, asio::io_context &context,
                peers::Mailbox &mailbox, EventLog &events, const Clock &clock,
                ReplicatedLogHandlers handlers);
  ~ReplicatedLog();
  ReplicatedLog(const ReplicatedLog &) = delete;
  ReplicatedLog &operator=(const ReplicatedLog &) = delete;

  /// Restores the state and begins to take part.
  void start();

  /// Takes in a message of another replica or about the membership; others are
  /// ignored.
  void receive(const protocol::Envelope &envelope);

  /// Hands leadership over if this replica leads, then calls `done`; at the
  /// latest after a fixed time.
  void transferLeadership(std::function<void()> done);

  /// Stops leading: decisions of this process can't be relied on any more. It
  /// may lead again in a later term, with decisions that begin anew.
  void resign(const std::string &reason);

  std::optional<LogPosition> propose(const std::string &record);

  /// True if no other replica can lead at this moment and the state reflects
  /// all that was accepted.
  bool isLeader() const;
  std::string leaderAddress() const;
  /// Name of the replica that is believed to lead; empty if none is known.
  std::string leaderName() const;
  /// Addresses of all members but this one.
  std::vector<std::string> otherAddresses() const;

  std::uint64_t commitIndex() const { return LocalReplica->commitIndex(); }
  std::uint64_t term() const { return LocalReplica->term(); }
  std::uint64_t snapshotIndex() const { return LocalReplica->snapshotIndex(); }

private:
  struct JoinCandidate {
    replication::Member Replica;
    SteadyTime LastSeen;
  };

  // replicated_log.cpp
  void openStorage();
  void startReplica(replication::RecoveredState recovered);
  void scheduleProcessing();
  void processEffects();
  void applyEffects(replication::Effects effects);
  void applyCommitted(const replication::Effects &effects);
  void sendMessages(const replication::Effects &effects);
  void writeEvents(const replication::Effects &effects);
  void write(std::shared_ptr<const replication::WriteBatch> batch);
  void finishWrite(std::shared_ptr<const replication::WriteBatch> batch,
                   std::optional<storage::StorageError> error);
  [[noreturn]] void exitOnStorageFailure(const storage::StorageError &error);
  void checkDiskStall();
  void snapshotIfDue();
  void updateLeadership();
  const replication::Member *leaderMember() const;
  void armTimer();

  // replicated_log_membership.cpp
  void handleReplication(const protocol::Envelope &envelope);
  void handleGreeting(const protocol::Envelope &envelope);
  void bootstrapIfComplete();
  void maintain();
  void announceSelf();
  void sendHint(const std::string &address);
  void handleHint(const protocol::ReplicaHint &hint);
  bool needsToJoin();
  void repairMembership();
  void promoteLearners();
  void answerMembership(const protocol::Envelope &envelope);
  void fillMembership(protocol::MembershipReply &reply) const;
  std::string changeMembership(const std::string &add,
                               const std::string &remove);
  std::string addCandidate(const std::string &name);
  std::string removeByName(const std::string &name);
  std::string addressOf(replication::ReplicaId id,
                        const std::string &listed) const;

  ReplicatedLogOptions Options;
  asio::io_context &Context;
  peers::Mailbox &Outbox;
  EventLog &Events;
  const Clock &Time;
  ReplicatedLogHandlers Handlers;
  std::mt19937_64 Engine;
  std::optional<storage::ReplicaStorage> Storage;
  std::unique_ptr<replication::Replica> LocalReplica;
  std::optional<replication::InitialMembership> Bootstrap;
  std::map<replication::ReplicaId, JoinCandidate> JoinCandidates;
  /// Control VMs that others told of, asked to join beside the initial members.
  std::set<std::string> HintedAddresses;
  /// When a leader was known last.
  SteadyTime LastLeaderKnownAt{};
  /// Where replicas that the membership does not list were heard from.
  std::map<replication::ReplicaId, std::string> LearnedAddresses;
  asio::steady_timer ReplicaTimer;
  asio::steady_timer MaintenanceTimer;
  asio::steady_timer WriteRetryTimer;
  asio::steady_timer TransferTimer;
  std::function<void()> TransferDone;
  bool ProcessingScheduled = false;
  /// The data folder takes no writes at present.
  bool Unwritable = false;
  /// When the write that is going on began.
  std::optional<SteadyTime> WritingSince;
  bool LeadershipActive = false;
  /// Somebody was told that this replica does not lead; the handler for the
  /// start of leadership runs again before anybody is told that it does.
  mutable bool LeaseLapsed = false;
  std::uint64_t AppliedIndex = 0;
  asio::thread_pool Disk{1};
};

static_assert(CommandLog<ReplicatedLog>);

} // namespace masticwinch::control
