#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/control/command_log.hpp"
#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/coordination/placement/placer.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/protocol/envelope.pb.h"
#include "masticwinch/workers/job_terms.hpp"
#include "masticwinch/workers/placement_status.hpp"
#include "masticwinch/workers/worker_client.hpp"

#include <algorithm>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace masticwinch::workers {

/// Requirements of a client that calls workers.
template <class Client>
concept WorkerCalls = requires(Client client, const placement::WorkerCall &call,
                               const TaskContentLookup &contentOf,
                               WorkerCallDone done) {
  client.call(call, contentOf, std::move(done));
};

/// Runs the placer while this process leads the cell. A new leader first
/// proposes a record to the log. Once the record is committed, the replicated
/// state contains everything that was accepted before. The record's index is
/// higher than that of any earlier leader and becomes the epoch of all leases.
template <control::CommandLog Log, WorkerCalls Client> class PlacementDriver {
public:
  PlacementDriver(Log &log, Client &client, const cell::CellState &state,
                  const Clock &clock, EventLog &events,
                  placement::PlacerSettings settings)
      : Commands(log), Workers(client), State(state), Time(clock),
        Events(events), Settings(std::move(settings)) {}

  /// Sets the function to call when the placer has new work, so that the next
  /// tick should run soon.
  void onWorkAvailable(std::function<void()> function) {
    WorkAvailable = std::move(function);
  }

  /// Called when this process becomes the leader.
  void becomeLeader() {
    Leader.reset();
    PendingBatch.reset();
    protocol::Command command;
    command.mutable_record_placement()->set_worker_lease_ms(
        static_cast<std::uint64_t>(Settings.Lease.Length.count()));
    LeadershipRecordAt = propose(command);
  }

  /// Called after each committed command has changed the replicated state.
  void applied(control::LogPosition position, const protocol::Command &command,
               const protocol::CommandResult &result) {
    if (LeadershipRecordAt == position) {
      startPlacing(position.Index);
      return;
    }
    if (!Leader) {
      return;
    }
    if (PendingBatch && PendingBatch->first == position) {
      const std::uint64_t batch = PendingBatch->second;
      PendingBatch.reset();
      Leader->recorded(batch, Time.now());
    }
    if (result.code() == protocol::ACCEPTED) {
      applyToPlacer(command, result);
    }
    notifyWorkAvailable();
  }

  /// Handles a worker's announcement. Announcements are soft state: they are
  /// kept in memory and not replicated.
  void announced(const protocol::WorkerAnnouncement &announcement) {
    protocol::WorkerAnnouncement &known = Announcements[announcement.name()];
    if (announcement.incarnation() < known.incarnation()) {
      return;
    }
    const bool restarted = announcement.incarnation() != known.incarnation();
    const bool hasNews = announcement.news() != known.news();
    known = announcement;
    if (Leader) {
      Leader->announceWorker(descriptionOf(known), Time.now());
      if (restarted || hasNews) {
        Leader->requestWorkerCall(known.name(), Time.now());
        notifyWorkAvailable();
      }
    }
  }

  /// Runs a step of the placer and applies its effects.
  void tick() {
    if (!Commands.isLeader()) {
      Leader.reset();
      LeadershipRecordAt.reset();
      return;
    }
    if (!Leader) {
      retryLeadershipRecord();
      return;
    }
    placement::StepEffects effects = Leader->step(Time.now());
    for (const placement::PlacementNotice &it : effects.Notices) {
      write(it);
    }
    record(effects.Records);
    for (const placement::WorkerCall &it : effects.Calls) {
      send(it);
    }
  }

  /// The refusal of a job whose tasks fit no VM; nothing for other commands.
  std::optional<protocol::CommandResult>
  refusalOf(const protocol::Command &command) const {
    if (!Leader || !command.has_submit_job()) {
      return std::nullopt;
    }
    const protocol::ConfigItem *profile = State.configuration().findPresent(
        {cell::ConfigKind::Profile, command.submit_job().spec().profile()});
    if (profile == nullptr || profile->profile().retired()) {
      return std::nullopt;
    }
    protocol::TaskPolicy policy = profile->profile().spec().tasks();
    policy.MergeFrom(command.submit_job().spec().overrides());
    const placement::Resources largest = Leader->largestVm();
    const bool known = largest != placement::Resources{};
    if (!known || resourcesOf(policy.resources()).fitsIn(largest)) {
      return std::nullopt;
    }
    protocol::CommandResult result;
    result.set_code(protocol::INVALID);
    result.set_field("resources");
    result.set_message("a task must fit into the largest VM, which has " +
                       std::to_string(largest.MilliProcessors) +
                       " milli-processors, " +
                       std::to_string(largest.MemoryMib) + " MiB and " +
                       std::to_string(largest.Accelerators) + " accelerators");
    return result;
  }

  /// Answers a query about jobs or VMs; ignores other queries.
  void answer(const protocol::QueryRequest &request,
              protocol::QueryReply &reply) const {
    if (request.has_jobs()) {
      answerJobs(request.jobs().job(), *reply.mutable_jobs());
    } else if (request.has_vms()) {
      answerVms(request.vms().vm(), *reply.mutable_vms());
    }
  }

  const placement::Placer *placer() const { return Leader.get(); }

private:
  /// Proposes the leadership record again if the log did not accept it.
  void retryLeadershipRecord() {
    if (!LeadershipRecordAt) {
      becomeLeader();
    }
  }

  void notifyWorkAvailable() {
    if (WorkAvailable) {
      WorkAvailable();
    }
  }

  void startPlacing(std::uint64_t epoch) {
    LeadershipRecordAt.reset();
    const SteadyTime now = Time.now();
    Leader =
        std::make_unique<placement::Placer>(effectiveSettings(), epoch, now);
    for (const protocol::ConfigItem *it :
         State.configuration().present(cell::ConfigKind::Team)) {
      Leader->setTeam(it->team().name(), teamTermsOf(it->team()), now);
    }
    for (const protocol::ConfigItem *it :
         State.configuration().present(cell::ConfigKind::Vm)) {
      Leader->setDraining(it->vm().name(), it->vm().draining(), now);
    }
    for (const auto &[id, record] : State.jobs()) {
      if (record.ended_order() == 0) {
        Leader->addJob(jobTermsOf(record, Settings.Policy),
                       historyOf(record.progress()), true, now);
      }
    }
    for (const auto &[name, announcement] : Announcements) {
      Leader->announceWorker(descriptionOf(announcement), now);
    }
  }

  /// The settings, with the wait for earlier leases extended to the longest
  /// lease that any leader granted, since the setting may have been shortened.
  placement::PlacerSettings effectiveSettings() const {
    placement::PlacerSettings settings = Settings;
    placement::LeaseSettings earlier = Settings.Lease;
    earlier.Length = std::max(
        earlier.Length,
        Milliseconds(static_cast<std::int64_t>(State.longestWorkerLeaseMs())));
    settings.Lease.LeadershipOverlap +=
        earlier.maxDurationOnGranterClock() -
        Settings.Lease.maxDurationOnGranterClock();
    return settings;
  }

  void applyToPlacer(const protocol::Command &command,
                     const protocol::CommandResult &result) {
    const SteadyTime now = Time.now();
    if (command.has_submit_job()) {
      addAccepted(result.job());
    } else if (command.has_cancel_job()) {
      Leader->cancelJob(command.cancel_job().job(), now);
    } else if (command.has_put_team()) {
      const protocol::Team &team = command.put_team().team();
      Leader->setTeam(team.name(), teamTermsOf(team), now);
    } else if (command.has_set_vm_policy()) {
      const protocol::VmPolicy &vm = command.set_vm_policy().vm();
      Leader->setDraining(vm.name(), vm.draining(), now);
    }
  }

  void addAccepted(const std::string &job) {
    const auto it = State.jobs().find(job);
    // A resent submission returns the first one's result, whose job may have
    // ended.
    if (it != State.jobs().end() && it->second.ended_order() == 0) {
      Leader->addJob(jobTermsOf(it->second, Settings.Policy), {}, false,
                     Time.now());
    }
  }

  std::optional<control::LogPosition> propose(protocol::Command command) {
    const auto since = std::chrono::duration_cast<Milliseconds>(
        Time.systemNow().time_since_epoch());
    command.set_at_unix_ms(static_cast<std::uint64_t>(since.count()));
    const control::ProposalResult proposed =
        Commands.propose(command.SerializeAsString());
    const control::LogPosition *position = control::positionOf(proposed);
    return position ? std::optional(*position) : std::nullopt;
  }

  void record(const placement::RecordBatch &batch) {
    if (batch.empty()) {
      return;
    }
    protocol::Command command;
    *command.mutable_record_placement() = messageOf(batch);
    const auto position = propose(std::move(command));
    if (position) {
      PendingBatch.emplace(*position, batch.Id);
    } else {
      Leader->recordingFailed(batch.Id, Time.now());
    }
  }

  void send(const placement::WorkerCall &call) {
    const placement::CallKey key = placement::keyOf(call);
    const auto contentOf = [this](const std::string &job) {
      const auto it = State.jobs().find(job);
      if (it == State.jobs().end()) {
        return TaskContent{};
      }
      return TaskContent{it->second.spec().payload(),
                         it->second.policy().kind() == protocol::SERVICE};
    };
    Workers.call(call, contentOf, [this, key](const WorkerCallResult &result) {
      if (!Leader) {
        return;
      }
      const SteadyTime now = Time.now();
      if (result.Answer) {
        Leader->workerAnswered(key, *result.Answer, now);
      } else if (result.Refused) {
        Leader->workerRefused(key, now);
      } else {
        Leader->workerFailed(key, now);
      }
      notifyWorkAvailable();
    });
  }

  void write(const placement::PlacementNotice &it) {
    if (it.Attempt != 0) {
      Events.write(it.Kind, {{"job", it.Job},
                             {"task", it.Job + "/" + std::to_string(it.Task)},
                             {"attempt", it.Attempt},
                             {"vm", it.Vm}});
    } else if (!it.Job.empty()) {
      Events.write(it.Kind, {{"job", it.Job}});
    } else {
      Events.write(it.Kind, {{"vm", it.Vm}});
    }
  }

  void answerJobs(const std::string &job, protocol::JobsReply &reply) const {
    if (!job.empty()) {
      const auto it = State.jobs().find(job);
      if (it != State.jobs().end()) {
        *reply.add_jobs() = statusOf(it->second, Leader.get());
      }
      return;
    }
    for (const auto &[id, record] : State.jobs()) {
      if (reply.jobs_size() >= MaxListedJobs) {
        return;
      }
      *reply.add_jobs() = statusOf(record, Leader.get());
    }
  }

  void answerVms(const std::string &vm, protocol::VmsReply &reply) const {
    if (!Leader) {
      return;
    }
    if (!vm.empty()) {
      const auto summary = Leader->worker(vm);
      if (summary) {
        *reply.add_vms() = statusOf(*summary);
      }
      return;
    }
    for (const placement::WorkerSummary &it : Leader->workers()) {
      *reply.add_vms() = statusOf(it);
    }
  }

  /// A longer list would exceed the size limit of a message between processes.
  static constexpr int MaxListedJobs = 5'000;

  Log &Commands;
  Client &Workers;
  const cell::CellState &State;
  const Clock &Time;
  EventLog &Events;
  placement::PlacerSettings Settings;
  std::unique_ptr<placement::Placer> Leader;
  std::optional<control::LogPosition> LeadershipRecordAt;
  std::optional<std::pair<control::LogPosition, std::uint64_t>> PendingBatch;
  std::function<void()> WorkAvailable;
  std::map<std::string, protocol::WorkerAnnouncement> Announcements;
};

} // namespace masticwinch::workers
