#include "masticwinch/peers/entry_session.hpp"

#include "masticwinch/events/event_log.hpp"
#include "masticwinch/peers/cell_client.hpp"
#include "masticwinch/peers/mailbox.hpp"

namespace masticwinch::peers {

enum class EntryEvent : std::uint8_t {
  Joined,
  JoinRefused,
  ServingStarted,
  ServingStopped,
  ConfigurationInUse,
};

} // namespace masticwinch::peers

namespace masticwinch {

template <> struct EnumNames<peers::EntryEvent> {
  static constexpr std::array<EnumName<peers::EntryEvent>, 5> Table{{
      {peers::EntryEvent::Joined, "entry_joined"},
      {peers::EntryEvent::JoinRefused, "entry_join_refused"},
      {peers::EntryEvent::ServingStarted, "serving_started"},
      {peers::EntryEvent::ServingStopped, "serving_stopped"},
      {peers::EntryEvent::ConfigurationInUse, "configuration_in_use"},
  }};
};

} // namespace masticwinch

namespace masticwinch::peers {

namespace {

/// Number of unanswered hellos after which the next control VM is tried.
constexpr std::uint64_t MaxUnansweredHellos = 2;

} // namespace

EntrySession::EntrySession(asio::io_context &context, const Clock &clock,
                           Mailbox &mailbox, CellClient &client,
                           EventLog &events, EntrySessionOptions options)
    : Time(clock), Outbox(mailbox), Client(client), Events(events),
      Options(std::move(options)), Timer(context) {}

void EntrySession::start() {
  join();
  sendHello();
}

void EntrySession::join() {
  if (Joining || Leaving) {
    return;
  }
  Joining = true;
  Client.submit(joinCommand(false), [this](CellCallOutcome kind,
                                           const protocol::CommandResult &it) {
    Joining = false;
    if (kind == CellCallOutcome::Answered && it.code() == protocol::ACCEPTED) {
      Events.write(EntryEvent::Joined, {{"revision", it.revision()}});
      sendHello();
      return;
    }
    Events.write(EntryEvent::JoinRefused, {{"reason", it.message()}});
  });
}

protocol::Command EntrySession::joinCommand(bool leaving) const {
  protocol::Command command;
  protocol::EntryMember *entry = command.mutable_join_entry()->mutable_entry();
  entry->set_name(Options.Name);
  entry->set_incarnation(Options.Incarnation);
  entry->set_address(Outbox.options().Address);
  entry->set_data_center(Options.DataCenter);
  entry->set_leaving(leaving);
  return command;
}

void EntrySession::announceLeaving() {
  Client.submit(joinCommand(true),
                [this](CellCallOutcome, const protocol::CommandResult &) {
                  sendHello();
                });
}

bool EntrySession::isLeaving() const {
  const protocol::ConfigItem *item =
      Config.findPresent({cell::ConfigKind::Entry, Options.Name});
  return item != nullptr && item->entry().leaving() &&
         item->entry().incarnation() == Options.Incarnation;
}

void EntrySession::scheduleHello(Milliseconds delay) {
  Timer.expires_after(delay);
  Timer.async_wait([this](const std::error_code &ec) {
    if (!ec) {
      sendHello();
    }
  });
}

void EntrySession::sendHello() {
  logServingChange();
  if (Lease.latestHello() >= LastAnsweredHello + MaxUnansweredHellos) {
    Client.suggestLeader("");
    LastAnsweredHello = Lease.latestHello();
  }
  protocol::Envelope envelope;
  protocol::EntryHello *message = envelope.mutable_entry_hello();
  message->set_revision(Config.revision());
  for (const auto &it : Renewals) {
    protocol::UpstreamRenewal *renewal = message->add_renewals();
    renewal->set_name(it.first);
    renewal->set_incarnation(it.second);
  }
  Renewals.clear();
  message->set_sequence(Lease.helloSent(Time.now()));
  Outbox.send(Client.leader(), std::move(envelope));
  scheduleHello(Options.HelloInterval);
}

void EntrySession::receive(const protocol::Envelope &envelope) {
  if (!envelope.has_entry_update()) {
    return;
  }
  const protocol::EntryUpdate &update = envelope.entry_update();
  if (update.incarnation() != Options.Incarnation) {
    return;
  }
  LastAnsweredHello = std::max(LastAnsweredHello, update.sequence());
  if (!update.leader()) {
    if (Client.leader() == envelope.reply_address()) {
      Client.suggestLeader(update.leader_hint());
    }
    return;
  }
  Client.suggestLeader(envelope.reply_address());
  const bool changed =
      Config.merge({update.items().begin(), update.items().end()},
                   update.base_revision(), update.revision());
  if (changed) {
    Events.write(EntryEvent::ConfigurationInUse,
                 {{"version", Config.revision()}});
    if (ConfigurationChanged) {
      ConfigurationChanged();
    }
  }
  if (!update.member()) {
    join();
    return;
  }
  Lease.granted(update.sequence(), Milliseconds(update.lease_ms()));
  logServingChange();
  if (LeaseExtended) {
    LeaseExtended();
  }
  if (changed) {
    sendHello();
  }
}

bool EntrySession::mayServe() const {
  return !Leaving && Lease.valid(Time.now());
}

void EntrySession::logServingChange() {
  const bool serving = mayServe();
  if (serving != WasServing) {
    Events.write(serving ? EntryEvent::ServingStarted
                         : EntryEvent::ServingStopped,
                 {{"version", Config.revision()}});
  }
  WasServing = serving;
}

void EntrySession::renewUpstream(const std::string &name,
                                 std::uint64_t incarnation) {
  Renewals[name] = incarnation;
}

void EntrySession::leave(std::function<void()> done) {
  Leaving = true;
  Timer.cancel();
  logServingChange();
  protocol::Command command;
  command.mutable_leave_entry()->set_name(Options.Name);
  command.mutable_leave_entry()->set_incarnation(Options.Incarnation);
  Client.submit(
      std::move(command),
      [done = std::move(done)](CellCallOutcome,
                               const protocol::CommandResult &) { done(); });
}

} // namespace masticwinch::peers
