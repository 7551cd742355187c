#include "masticwinch/control/replicated_log.hpp"

#include "masticwinch/control/internal/storage_outcome.hpp"
#include "masticwinch/control/replicated_log_event.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/post.hpp>

#include <cstdlib>
#include <random>
#include <stdexcept>

namespace masticwinch::control {

using internal::storageErrorOf;
using replication::Effects;
using replication::Replica;
using replication::WriteBatch;
using storage::StorageError;
using storage::StorageErrorKind;

namespace {

constexpr Milliseconds MaintenanceInterval{250};
constexpr Milliseconds WriteRetryInterval{200};
constexpr Milliseconds TransferTimeout{2000};
/// Exit status after a failed sync.
constexpr int StorageFailedStatus = 74;

std::mt19937_64 randomEngine() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

/// True for a heartbeat or its reply. Both are exchanged only between replicas
/// that have already exchanged entries.
bool isHeartbeat(const protocol::ReplicationMessage &message) {
  if (message.has_append_request()) {
    return message.append_request().entries().empty() &&
           message.append_request().prev_index() != 0;
  }
  return message.has_append_reply() && message.append_reply().accepted();
}

} // namespace

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions options,
                             asio::io_context &context, peers::Mailbox &mailbox,
                             EventLog &events, const Clock &clock,
                             ReplicatedLogHandlers handlers)
    : Options(std::move(options)), Context(context), Outbox(mailbox),
      Events(events), Time(clock), Handlers(std::move(handlers)),
      Engine(randomEngine()), ReplicaTimer(context), MaintenanceTimer(context),
      WriteRetryTimer(context), TransferTimer(context) {
  openStorage();
}

ReplicatedLog::~ReplicatedLog() { Disk.join(); }

void ReplicatedLog::openStorage() {
  const auto error = storageErrorOf([this]() -> Result<void> {
    BOOST_LEAF_AUTO(opened,
                    storage::ReplicaStorage::open(Options.Storage, Engine));
    Storage.emplace(std::move(opened));
    return {};
  });
  if (error) {
    Events.write(
        ReplicatedLogEvent::FolderRefused,
        {{"folder", Options.Storage.Folder}, {"reason", error->text()}});
    throw std::runtime_error(error->text());
  }
  Options.Self.Id = Storage->id();
  if (!Storage->setAsideReason().empty()) {
    Events.write(ReplicatedLogEvent::FolderSetAside,
                 {{"folder", Options.Storage.Folder},
                  {"reason", Storage->setAsideReason()}});
  }
  Events.write(ReplicatedLogEvent::FolderOpened,
               {{"replica", Options.Self.Id.text()},
                {"empty", Storage->isEmpty() ? "yes" : "no"},
                {"shared", Storage->isShared() ? "yes" : "no"}});
  if (Storage->isEmpty() && Options.MayBootstrap && !Storage->hasSetAside()) {
    Bootstrap.emplace(Options.Self, Options.InitialMembers);
  }
}

void ReplicatedLog::start() {
  startReplica(Storage->takeRecovered());
  bootstrapIfComplete();
  maintain();
}

void ReplicatedLog::startReplica(replication::RecoveredState recovered) {
  LocalReplica = std::make_unique<Replica>(
      Options.Replica, Options.Self.Id, std::move(recovered),
      std::mt19937_64(Engine()), Time.now());
  scheduleProcessing();
}

ProposalResult ReplicatedLog::propose(const std::string &record) {
  if (record.size() > Options.Replica.MaxEntryBytes) {
    Events.write(ReplicatedLogEvent::RecordTooLarge,
                 {{"bytes", record.size()},
                  {"max_bytes", Options.Replica.MaxEntryBytes}});
    return ProposalRefusal::TooLarge;
  }
  if (!Refusal.empty()) {
    return ProposalRefusal::NotNow;
  }
  const auto index = LocalReplica->propose(record, Time.now());
  scheduleProcessing();
  if (!index) {
    return ProposalRefusal::NotNow;
  }
  return LogPosition{*index, LocalReplica->term()};
}

void ReplicatedLog::resign(const std::string &reason) {
  Events.write(ReplicatedLogEvent::LeadershipResigned, {{"reason", reason}});
  LeadershipActive = false;
  LocalReplica->resign(Time.now());
  scheduleProcessing();
}

bool ReplicatedLog::isLeader() const {
  LeaseLapsed = LeaseLapsed || !LocalReplica->holdsLease(Time.now());
  return LeadershipActive && !LeaseLapsed;
}

std::string ReplicatedLog::leaderAddress() const {
  const replication::Member *member = leaderMember();
  return member ? member->Address : std::string();
}

std::string ReplicatedLog::leaderName() const {
  const replication::Member *member = leaderMember();
  return member ? member->Name : std::string();
}

const replication::Member *ReplicatedLog::leaderMember() const {
  const auto leader = LocalReplica->leader();
  return leader ? LocalReplica->membership().find(*leader) : nullptr;
}

std::vector<std::string> ReplicatedLog::otherAddresses() const {
  std::vector<std::string> addresses;
  for (const replication::Member &it : LocalReplica->membership().Members) {
    if (it.Id != Options.Self.Id) {
      addresses.push_back(it.Address);
    }
  }
  return addresses;
}

/// Defers processing so that inputs that arrive together share one sync and one
/// message to each replica.
void ReplicatedLog::scheduleProcessing() {
  if (ProcessingScheduled) {
    return;
  }
  ProcessingScheduled = true;
  asio::post(Context, [this] {
    ProcessingScheduled = false;
    processEffects();
  });
}

void ReplicatedLog::processEffects() {
  applyEffects(LocalReplica->takeEffects(Time.now()));
  updateLeadership();
  snapshotIfDue();
  armTimer();
}

void ReplicatedLog::applyEffects(Effects effects) {
  writeEvents(effects);
  if (effects.Write) {
    write(std::make_shared<WriteBatch>(std::move(*effects.Write)));
  }
  sendMessages(effects);
  applyCommitted(effects);
}

void ReplicatedLog::applyCommitted(const Effects &effects) {
  if (effects.Restore) {
    AppliedIndex = effects.Restore->Index;
    AppliedBytes = 0;
    Handlers.Restored(effects.Restore->Data);
  }
  for (const protocol::LogEntry &it : effects.Committed) {
    AppliedIndex = it.index();
    AppliedBytes += it.data().size();
    if (it.kind() == protocol::COMMAND) {
      Handlers.Applied({it.index(), it.term()}, it.data());
    }
  }
}

void ReplicatedLog::sendMessages(const Effects &effects) {
  for (const replication::OutgoingMessage &it : effects.Messages) {
    const std::string address = addressOf(it.To, it.Address);
    if (address.empty()) {
      continue;
    }
    protocol::Envelope envelope;
    *envelope.mutable_replication() = it.Message;
    const bool known = LocalReplica->membership().isVoter(it.To);
    Outbox.send(address, std::move(envelope),
                known && isHeartbeat(it.Message) ? peers::EnvelopeHeader::Short
                                                 : peers::EnvelopeHeader::Full);
  }
}

void ReplicatedLog::writeEvents(const Effects &effects) {
  for (const replication::ReplicaEvent &it : effects.Events) {
    Events.write(it.Kind, {{"role", nameOf(LocalReplica->role())},
                           {"term", it.Term},
                           {"index", it.Index},
                           {"detail", it.Detail}});
  }
}

void ReplicatedLog::write(std::shared_ptr<const WriteBatch> batch) {
  WritingSince = Time.now();
  asio::post(Disk, [this, batch = std::move(batch)] {
    auto error = storageErrorOf([&] { return Storage->write(*batch); });
    asio::post(Context, [this, batch, error = std::move(error)] {
      finishWrite(batch, error);
    });
  });
}

/// Transfers leadership if a write stalls: followers still store what the
/// leader sends, but it could not persist its own vote or a snapshot.
void ReplicatedLog::checkDiskStall() {
  const bool stalls =
      WritingSince && Time.now() - *WritingSince > Options.DiskStallTimeout;
  if (stalls && LocalReplica->transferLeadership(Time.now())) {
    Events.write(ReplicatedLogEvent::LeadershipOffered,
                 {{"reason", "the disk stalls"}});
    scheduleProcessing();
  }
}

void ReplicatedLog::exitOnStorageFailure(const StorageError &error) {
  Events.write(ReplicatedLogEvent::StorageFailed,
               {{"reason", error.text()}, {"code", StorageFailedStatus}});
  std::_Exit(StorageFailedStatus);
}

void ReplicatedLog::finishWrite(std::shared_ptr<const WriteBatch> batch,
                                std::optional<StorageError> error) {
  WritingSince.reset();
  if (error && !error->isRetryable()) {
    exitOnStorageFailure(*error);
  }
  if (Refusal.empty() == error.has_value()) {
    Refusal = error ? error->text() : "";
    LocalReplica->setElectable(!error);
    const bool full = error && error->Kind == StorageErrorKind::DiskFull;
    Events.write(!error ? ReplicatedLogEvent::DiskWritable
                 : full ? ReplicatedLogEvent::DiskFull
                        : ReplicatedLogEvent::DescriptorsUsedUp,
                 {{"reason", Refusal}});
  }
  if (error && LocalReplica->transferLeadership(Time.now())) {
    Events.write(ReplicatedLogEvent::LeadershipOffered,
                 {{"reason", "the data folder cannot be written"}});
    scheduleProcessing();
  }
  if (error) {
    WriteRetryTimer.expires_after(WriteRetryInterval);
    WriteRetryTimer.async_wait([this, batch](const std::error_code &ec) {
      if (!ec) {
        write(batch);
      }
    });
    return;
  }
  LocalReplica->persisted(batch->Sequence, Time.now());
  scheduleProcessing();
}

void ReplicatedLog::snapshotIfDue() {
  if (AppliedIndex < LocalReplica->snapshotIndex() + Options.SnapshotEntries &&
      AppliedBytes < Options.SnapshotBytes) {
    return;
  }
  AppliedBytes = 0;
  LocalReplica->compact(AppliedIndex, Handlers.Snapshot());
  Events.write(ReplicatedLogEvent::SnapshotTaken, {{"index", AppliedIndex}});
  scheduleProcessing();
}

void ReplicatedLog::updateLeadership() {
  const bool leads = LocalReplica->holdsLease(Time.now());
  const bool begins = leads && (!LeadershipActive || LeaseLapsed);
  if (LeadershipActive && (!leads || LeaseLapsed)) {
    Events.write(
        ReplicatedLogEvent::LeaseLapsed,
        {{"term", LocalReplica->term()}, {"regained", leads ? "yes" : "no"}});
  }
  LeadershipActive = leads;
  if (begins) {
    LeaseLapsed = false;
    Handlers.LeaderStarted();
  }
  if (TransferDone && LocalReplica->role() != replication::Role::Leader) {
    TransferTimer.cancel();
    std::exchange(TransferDone, nullptr)();
  }
}

void ReplicatedLog::armTimer() {
  ReplicaTimer.expires_after(LocalReplica->nextTick() - Time.now());
  ReplicaTimer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      LocalReplica->tick(Time.now());
      scheduleProcessing();
    }
  });
}

void ReplicatedLog::transferLeadership(std::function<void()> done) {
  if (!LocalReplica->transferLeadership(Time.now())) {
    done();
    return;
  }
  TransferDone = std::move(done);
  TransferTimer.expires_after(TransferTimeout);
  TransferTimer.async_wait([this](const std::error_code &ec) {
    if (!ec && TransferDone) {
      std::exchange(TransferDone, nullptr)();
    }
  });
  scheduleProcessing();
}

void ReplicatedLog::maintain() {
  announceSelf();
  checkDiskStall();
  if (Options.Repair) {
    repairMembership();
  } else {
    promoteLearners();
  }
  MaintenanceTimer.expires_after(MaintenanceInterval);
  MaintenanceTimer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      maintain();
    }
  });
}

} // namespace masticwinch::control
