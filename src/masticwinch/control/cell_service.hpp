#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/control/command_log.hpp"
#include "masticwinch/control/control_event.hpp"
#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/coordination/cell/entry_leases.hpp"
#include "masticwinch/coordination/cell/upstream_renewals.hpp"
#include "masticwinch/events/event_log.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::control {

/// Sends messages to other processes.
template <class Sender>
concept MessageSender = requires(Sender sender, const std::string &address,
                                 protocol::Envelope envelope) {
  sender.send(address, std::move(envelope));
};

/// Extension points for commands and queries; called on the control thread.
struct CellServiceHooks {
  /// Called after a committed command has changed the state.
  std::function<void(LogPosition, const protocol::Command &,
                     const protocol::CommandResult &)>
      Applied;
  /// Returns a refusal for a command that must not be proposed, or nothing.
  std::function<std::optional<protocol::CommandResult>(
      const protocol::Command &)>
      Refuse;
  /// Fills in the reply to a query that the service does not handle itself.
  std::function<void(const protocol::QueryRequest &, protocol::QueryReply &)>
      Answer;
};

struct CellServiceOptions {
  cell::EntryLeaseOptions EntryLeases;
  /// An upstream that has not renewed for this long is removed from the
  /// configuration.
  Milliseconds UpstreamLapse{5000};
};

/// Handles commands, queries and hello messages of other processes based on the
/// replicated state. Runs on the control thread.
template <CommandLog Log, MessageSender Sender> class CellService {
public:
  CellService(Log &log, Sender &sender, const Clock &clock, EventLog &events,
              CellServiceOptions options)
      : Commands(log), Outbox(sender), Time(clock), Events(events),
        Leases(options.EntryLeases), Renewals(options.UpstreamLapse) {}

  void setHooks(CellServiceHooks hooks) { Hooks = std::move(hooks); }

  /// Called when this process becomes the leader.
  void becomeLeader() {
    Leases.becomeLeader(Time.now());
    Renewals.becomeLeader(Time.now());
    PendingReplies.clear();
    Proposed.clear();
    Events.write(ControlEvent::LeaderStarted,
                 {{"version", State.configuration().revision()}});
  }

  /// Applies a committed record and replies to the process that proposed it.
  void applied(LogPosition position, const std::string &record) {
    protocol::Command command;
    if (!command.ParseFromString(record)) {
      Events.write(ControlEvent::RecordUnreadable, {{"index", position.Index}});
      return;
    }
    const std::uint64_t before = State.configuration().revision();
    const protocol::CommandResult result = State.apply(command);
    Events.write(ControlEvent::CommandApplied,
                 {{"index", position.Index},
                  {"request", command.request_id()},
                  {"author", command.author()},
                  {"result", protocol::ResultCode_Name(result.code())},
                  {"version", result.revision()},
                  {"job", result.job()}});
    sendResult(position, result);
    if (Hooks.Applied) {
      Hooks.Applied(position, command, result);
    }
    if (State.configuration().revision() != before) {
      if (command.has_join_entry()) {
        Leases.joined(command.join_entry().entry().name(), Time.now());
      }
      pushConfiguration();
    }
  }

  /// Handles a message from another process; ignores messages that are not
  /// meant for the leader.
  void receive(const protocol::Envelope &envelope) {
    if (envelope.has_command_request()) {
      handleCommand(envelope);
    } else if (envelope.has_query_request()) {
      handleQuery(envelope);
    } else if (envelope.has_entry_hello()) {
      handleHello(envelope);
    }
  }

  /// Proposes the removal of entry VMs and upstreams that have stopped
  /// renewing.
  void tick() {
    if (!Commands.isLeader()) {
      return;
    }
    const SteadyTime now = Time.now();
    for (const cell::LapsedEntry &it :
         Leases.lapsed(State.configuration(), now)) {
      protocol::Command command;
      command.mutable_leave_entry()->set_name(it.Name);
      command.mutable_leave_entry()->set_incarnation(it.Incarnation);
      command.mutable_leave_entry()->set_lapsed(true);
      proposeOnce(std::move(command));
    }
    for (const cell::OwnershipChange &it :
         Leases.ownershipChanges(State.configuration(), now)) {
      protocol::Command command;
      command.mutable_yield_entry()->set_name(it.Name);
      command.mutable_yield_entry()->set_incarnation(it.Incarnation);
      command.mutable_yield_entry()->set_yielded(it.Yielded);
      proposeOnce(std::move(command));
    }
    for (const cell::LapsedUpstream &it :
         Renewals.lapsed(State.configuration(), now)) {
      protocol::Command command;
      command.mutable_leave_upstream()->set_name(it.Name);
      command.mutable_leave_upstream()->set_incarnation(it.Incarnation);
      command.mutable_leave_upstream()->set_lapsed(true);
      proposeOnce(std::move(command));
    }
  }

  const cell::CellState &state() const { return State; }
  cell::CellState &state() { return State; }

private:
  struct PendingReply {
    std::string Address;
    std::uint64_t Call = 0;
  };

  struct EntryAddress {
    std::string Address;
    std::uint64_t Incarnation = 0;
    std::uint64_t Revision = 0;
  };

  void handleCommand(const protocol::Envelope &envelope) {
    const protocol::CommandRequest &request = envelope.command_request();
    if (waitsForEarlierLease(request.command())) {
      refuseCommand(envelope);
      return;
    }
    if (refuseByHook(envelope)) {
      return;
    }
    protocol::Command command = request.command();
    command.set_at_unix_ms(unixMillis());
    const ProposalResult proposed =
        Commands.propose(command.SerializeAsString());
    if (isTooLarge(proposed)) {
      protocol::CommandResult result;
      result.set_code(protocol::LIMIT);
      result.set_message("the command is larger than a record may be");
      replyWith(envelope, result);
      return;
    }
    const LogPosition *position = positionOf(proposed);
    if (!position) {
      refuseCommand(envelope);
      return;
    }
    PendingReplies[*position] = {envelope.reply_address(), request.call()};
  }

  /// Replies to a command that the hook refuses; returns whether it did.
  bool refuseByHook(const protocol::Envelope &envelope) {
    if (!Hooks.Refuse || !Commands.isLeader()) {
      return false;
    }
    const auto refusal = Hooks.Refuse(envelope.command_request().command());
    if (!refusal) {
      return false;
    }
    replyWith(envelope, *refusal);
    return true;
  }

  /// Replies with a result that stands, although nothing is stored.
  void replyWith(const protocol::Envelope &envelope,
                 const protocol::CommandResult &result) {
    protocol::Envelope reply;
    protocol::CommandReply *body = reply.mutable_command_reply();
    body->set_call(envelope.command_request().call());
    body->set_taken(true);
    *body->mutable_result() = result;
    Outbox.send(envelope.reply_address(), std::move(reply));
  }

  /// Whether a new incarnation of an entry VM has to wait until the lease of
  /// the previous one has expired.
  bool waitsForEarlierLease(const protocol::Command &command) const {
    if (!command.has_join_entry()) {
      return false;
    }
    const protocol::EntryMember &joining = command.join_entry().entry();
    const protocol::ConfigItem *held = State.configuration().findPresent(
        {cell::ConfigKind::Entry, joining.name()});
    return held != nullptr &&
           held->entry().incarnation() < joining.incarnation() &&
           Leases.mayServe(held->entry(), Time.now());
  }

  void refuseCommand(const protocol::Envelope &envelope) {
    protocol::Envelope reply;
    protocol::CommandReply *body = reply.mutable_command_reply();
    body->set_call(envelope.command_request().call());
    body->set_leader_hint(Commands.leaderAddress());
    Outbox.send(envelope.reply_address(), std::move(reply));
  }

  void handleQuery(const protocol::Envelope &envelope) {
    const protocol::QueryRequest &request = envelope.query_request();
    if (request.has_membership() || request.has_membership_change()) {
      return;
    }
    protocol::Envelope reply;
    protocol::QueryReply *body = reply.mutable_query_reply();
    body->set_call(request.call());
    body->set_leader_hint(Commands.leaderAddress());
    if (Commands.isLeader()) {
      body->set_taken(true);
      answerQuery(request, *body);
    }
    Outbox.send(envelope.reply_address(), std::move(reply));
  }

  void answerQuery(const protocol::QueryRequest &request,
                   protocol::QueryReply &reply) {
    if (request.has_in_force()) {
      *reply.mutable_in_force() =
          Leases.inForce(State.configuration(), Time.now());
    } else if (request.has_profile_history()) {
      *reply.mutable_profile_history() =
          State.profileHistory(request.profile_history().name());
    } else if (request.has_configuration()) {
      answerConfiguration(request.configuration(),
                          *reply.mutable_configuration());
    } else if (Hooks.Answer) {
      Hooks.Answer(request, reply);
    }
  }

  void answerConfiguration(const protocol::ConfigurationQuery &query,
                           protocol::ConfigurationReply &reply) const {
    const cell::Configuration &configuration = State.configuration();
    reply.set_revision(configuration.revision());
    const auto kind = parseEnum<cell::ConfigKind>(query.kind());
    if (!kind) {
      return;
    }
    for (const protocol::ConfigItem *it : configuration.present(*kind)) {
      if (query.name().empty() || cell::keyOf(*it).Name == query.name()) {
        *reply.add_items() = *it;
      }
    }
  }

  void handleHello(const protocol::Envelope &envelope) {
    const protocol::EntryHello &hello = envelope.entry_hello();
    const bool leads = Commands.isLeader();
    const bool member = leads && isMember(envelope);
    if (member) {
      Leases.hello(
          {envelope.sender(), envelope.incarnation(), hello.revision()},
          Time.now());
      EntryAddresses[envelope.sender()] = {
          envelope.reply_address(), envelope.incarnation(), hello.revision()};
    }
    if (leads) {
      Renewals.renew(hello, Time.now());
    }
    replyToHello(envelope, leads, member);
  }

  bool isMember(const protocol::Envelope &envelope) const {
    const protocol::ConfigItem *item = State.configuration().findPresent(
        {cell::ConfigKind::Entry, envelope.sender()});
    return item != nullptr &&
           item->entry().incarnation() == envelope.incarnation();
  }

  void replyToHello(const protocol::Envelope &request, bool leads,
                    bool member) {
    const protocol::EntryHello &hello = request.entry_hello();
    protocol::Envelope reply;
    protocol::EntryUpdate *update = reply.mutable_entry_update();
    update->set_sequence(hello.sequence());
    update->set_incarnation(request.incarnation());
    update->set_leader(leads);
    if (!leads) {
      update->set_leader_hint(Commands.leaderAddress());
    }
    update->set_member(member);
    if (leads) {
      addChanges(*update, hello.revision());
    }
    if (member) {
      update->set_lease_ms(
          static_cast<std::uint32_t>(Leases.options().Lease.count()));
    }
    Outbox.send(request.reply_address(), std::move(reply));
  }

  void addChanges(protocol::EntryUpdate &update, std::uint64_t since) const {
    update.set_base_revision(since);
    update.set_revision(State.configuration().revision());
    for (const protocol::ConfigItem *it :
         State.configuration().changesSince(since)) {
      *update.add_items() = *it;
    }
  }

  /// Sends changes to every known entry VM without waiting for its next hello.
  /// This does not extend any lease.
  void pushConfiguration() {
    if (!Commands.isLeader()) {
      return;
    }
    for (auto &it : EntryAddresses) {
      protocol::Envelope envelope;
      protocol::EntryUpdate *update = envelope.mutable_entry_update();
      update->set_leader(true);
      update->set_member(true);
      update->set_incarnation(it.second.Incarnation);
      addChanges(*update, it.second.Revision);
      Outbox.send(it.second.Address, std::move(envelope));
    }
  }

  void sendResult(LogPosition position, const protocol::CommandResult &result) {
    Proposed.clear();
    const auto it = PendingReplies.find(position);
    if (it == PendingReplies.end()) {
      return;
    }
    protocol::Envelope reply;
    protocol::CommandReply *body = reply.mutable_command_reply();
    body->set_call(it->second.Call);
    body->set_taken(true);
    *body->mutable_result() = result;
    Outbox.send(it->second.Address, std::move(reply));
    PendingReplies.erase(it);
  }

  /// Proposes a command on behalf of the leader unless an identical one is
  /// already pending.
  void proposeOnce(protocol::Command command) {
    const std::string content = command.SerializeAsString();
    if (!Proposed.insert(content).second) {
      return;
    }
    command.set_at_unix_ms(unixMillis());
    Commands.propose(command.SerializeAsString());
  }

  std::uint64_t unixMillis() const {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(
                                          Time.systemNow().time_since_epoch())
                                          .count());
  }

  Log &Commands;
  Sender &Outbox;
  const Clock &Time;
  EventLog &Events;
  CellServiceHooks Hooks;
  cell::CellState State;
  cell::EntryLeases Leases;
  cell::UpstreamRenewals Renewals;
  std::map<LogPosition, PendingReply> PendingReplies;
  std::map<std::string, EntryAddress> EntryAddresses;
  std::set<std::string> Proposed;
};

} // namespace masticwinch::control
