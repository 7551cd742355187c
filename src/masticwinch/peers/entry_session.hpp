#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/cell/configuration.hpp"
#include "masticwinch/coordination/cell/serving_lease.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace masticwinch {
class EventLog;
}

namespace masticwinch::peers {

class CellClient;
class Mailbox;

struct EntrySessionOptions {
  std::string Name;
  std::string DataCenter;
  std::uint64_t Incarnation = 0;
  /// Time between hellos to the leader.
  Milliseconds HelloInterval{500};
};

/// Maintains an entry VM's membership in the cell: joins, sends periodic hellos
/// to the leader, and keeps the current configuration and the serving lease.
/// Runs on the control thread.
class EntrySession {
public:
  EntrySession(asio::io_context &context, const Clock &clock, Mailbox &mailbox,
               CellClient &client, EventLog &events,
               EntrySessionOptions options);

  /// Sets the function to call after each change of the configuration.
  void onConfigurationChange(std::function<void()> function) {
    ConfigurationChanged = std::move(function);
  }

  /// Sets the function to call whenever the serving lease was extended, after
  /// the configuration received with the extension was applied.
  void onLeaseExtended(std::function<void()> function) {
    LeaseExtended = std::move(function);
  }

  /// Joins the cell and starts to send hellos.
  void start();

  /// Handles updates from the leader; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// Whether new work may be accepted, which requires a valid serving lease:
  /// the configuration is then confirmed to be current.
  bool mayServe() const;

  /// End of the serving lease.
  SteadyTime servingUntil() const { return Lease.validUntil(); }

  const cell::Configuration &configuration() const { return Config; }

  /// Sends an upstream's renewal to the leader with the next hello.
  void renewUpstream(const std::string &name, std::uint64_t incarnation);

  /// Announces to the cell that this entry VM is about to leave. It stays a
  /// member for now, but hands over what it owns.
  void announceLeaving();

  /// Whether the configuration in use here marks this entry VM as leaving.
  bool isLeaving() const;

  /// Leaves the cell; `done` is called when the leader has answered or the
  /// timeout has expired. The caller must have stopped accepting new work
  /// before.
  void leave(std::function<void()> done);

private:
  void sendHello();
  void join();
  protocol::Command joinCommand(bool leaving) const;
  void scheduleHello(Milliseconds delay);
  void logServingChange();

  const Clock &Time;
  Mailbox &Outbox;
  CellClient &Client;
  EventLog &Events;
  EntrySessionOptions Options;
  asio::steady_timer Timer;
  cell::Configuration Config;
  cell::ServingLease Lease;
  std::map<std::string, std::uint64_t> Renewals;
  std::function<void()> ConfigurationChanged;
  std::function<void()> LeaseExtended;
  std::uint64_t LastAnsweredHello = 0;
  bool Joining = false;
  bool Leaving = false;
  bool WasServing = false;
};

} // namespace masticwinch::peers
