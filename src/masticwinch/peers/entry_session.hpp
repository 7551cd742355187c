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

/// Keeps an entry VM a member of the cell: joins, says hello to the leader,
/// holds the configuration that is in force and the lease to serve under it.
/// Runs on the control thread.
class EntrySession {
public:
  EntrySession(asio::io_context &context, const Clock &clock, Mailbox &mailbox,
               CellClient &client, EventLog &events,
               EntrySessionOptions options);

  /// Called after each change of the configuration.
  void onConfigurationChange(std::function<void()> function) {
    ConfigurationChanged = std::move(function);
  }

  /// Called whenever the lease to serve was extended, after the configuration
  /// that came with it was taken in.
  void onLeaseExtended(std::function<void()> function) {
    LeaseExtended = std::move(function);
  }

  /// Joins the cell and starts to say hello.
  void start();

  /// Takes in a message; others than updates are ignored.
  void receive(const protocol::Envelope &envelope);

  /// Whether new work may be taken: the configuration is confirmed current.
  bool mayServe() const;

  /// End of the lease to serve.
  SteadyTime servingUntil() const { return Lease.validUntil(); }

  const cell::Configuration &configuration() const { return Config; }

  /// Hands an upstream's renewal on to the leader with the next hello.
  void renewUpstream(const std::string &name, std::uint64_t incarnation);

  /// Tells the cell that this entry VM is about to leave: it stays a member
  /// but hands over what it owns.
  void announceLeaving();

  /// Whether the configuration in use here says that this one is leaving.
  bool isLeaving() const;

  /// Leaves the cell; `done` is called when the leader has answered or the
  /// time for it is over. No new work may be taken any more before the call.
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
