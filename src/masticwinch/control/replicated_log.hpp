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
  /// Name, address and data centre of this replica; the identity is read from
  /// the data folder.
  replication::Member Self;
  /// Names and addresses of the cell's initial members.
  std::vector<replication::Member> InitialMembers;
  /// Number of committed entries after which a snapshot is taken and older
  /// entries are discarded.
  std::uint64_t SnapshotEntries = 5000;
  /// Size of committed entries after which a snapshot is taken even if they are
  /// fewer.
  std::size_t SnapshotBytes = 16 * 1024 * 1024;
  /// Duration of a write after which a leader transfers leadership.
  Milliseconds DiskStallTimeout{600};
  /// Whether a replica with an empty data folder may bootstrap the cell
  /// together with the initial members. A replica that restarts with an empty
  /// folder must not.
  bool MayBootstrap = true;
  /// Set if the leader repairs the membership automatically; otherwise
  /// operators add and remove replicas.
  std::optional<replication::RepairOptions> Repair;
};

/// Callbacks of the replicated log into the replicated state. All run on the
/// control thread.
struct ReplicatedLogHandlers {
  AppliedHandler Applied;
  /// Replaces the state with a snapshot.
  std::function<void(const std::string &state)> Restored;
  /// Returns the state after the last applied record.
  std::function<std::string()> Snapshot;
  /// Called when this replica becomes leader, or regains its lease after losing
  /// it, and has applied everything accepted before.
  std::function<void()> LeaderStarted;
};

/// Runs a replica: sends its messages through the mailbox, accesses storage on
/// a separate thread, and does everything else on the control thread.
/// Terminates the process when a sync fails.
class ReplicatedLog {
public:
  /// Opens the data folder. Throws `std::runtime_error` with the reason if the
  /// folder cannot be used.
  ReplicatedLog(ReplicatedLogOptions options, asio::io_context &context,
                peers::Mailbox &mailbox, EventLog &events, const Clock &clock,
                ReplicatedLogHandlers handlers);
  ~ReplicatedLog();
  ReplicatedLog(const ReplicatedLog &) = delete;
  ReplicatedLog &operator=(const ReplicatedLog &) = delete;

  /// Restores the state and starts the replica.
  void start();

  /// Handles a message from another replica or about the membership; ignores
  /// other messages.
  void receive(const protocol::Envelope &envelope);

  /// Transfers leadership if this replica is the leader. Calls `done`
  /// afterwards, or when the transfer times out.
  void transferLeadership(std::function<void()> done);

  /// Steps down because decisions of this process can no longer be relied on.
  /// The replica may be elected again in a later term, with its decision state
  /// rebuilt.
  void resign(const std::string &reason);

  ProposalResult propose(const std::string &record);

  /// Why records can't be stored at this moment; empty if they can. A leader
  /// that can't store them hands over as soon as another replica can lead.
  const std::string &refusal() const { return Refusal; }

  /// True if no other replica can be leader at this moment and the state
  /// reflects everything that was accepted.
  bool isLeader() const;
  std::string leaderAddress() const;
  /// Name of the replica that is believed to be leader; empty if unknown.
  std::string leaderName() const;
  /// Addresses of all other members.
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
  /// Addresses of control VMs learned from hints, contacted in addition to the
  /// initial members.
  std::set<std::string> HintedAddresses;
  /// Last time at which a leader was known.
  SteadyTime LastLeaderKnownAt{};
  /// Reply addresses of replicas that are not in the membership.
  std::map<replication::ReplicaId, std::string> LearnedAddresses;
  asio::steady_timer ReplicaTimer;
  asio::steady_timer MaintenanceTimer;
  asio::steady_timer WriteRetryTimer;
  asio::steady_timer TransferTimer;
  std::function<void()> TransferDone;
  bool ProcessingScheduled = false;
  /// Why the data folder cannot be written; empty while it can.
  std::string Refusal;
  /// Start time of the write in progress.
  std::optional<SteadyTime> WritingSince;
  bool LeadershipActive = false;
  /// Set once `isLeader` has reported that the lease was lost. `LeaderStarted`
  /// then runs again before `isLeader` reports leadership.
  mutable bool LeaseLapsed = false;
  std::uint64_t AppliedIndex = 0;
  /// Size of the entries applied since the last snapshot.
  std::size_t AppliedBytes = 0;
  asio::thread_pool Disk{1};
};

static_assert(CommandLog<ReplicatedLog>);

} // namespace masticwinch::control
