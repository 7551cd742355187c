#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace masticwinch {
class EventLog;
} // namespace masticwinch

namespace masticwinch::peers {
class Mailbox;
} // namespace masticwinch::peers

namespace masticwinch::workflow {

struct EntryGatewayOptions {
  /// Control VMs known from the settings.
  std::vector<std::string> Controls;
  /// Time between hellos to the leader.
  Milliseconds HelloInterval{350};
  /// Time between hellos to all control VMs while no leader is known.
  Milliseconds SearchInterval{100};
  /// The leader is lost when it has not answered for this long.
  Milliseconds LeaderTimeout{800};
  /// A call is sent again after this time without an answer.
  Milliseconds ResendAfter{400};
  /// Longest time that a call waits for its answer.
  Milliseconds MaxWait{2000};
  /// A call waits for a leader while an election may be going on. When none was
  /// found for this long, something else is wrong, and calls are refused at
  /// once until one is.
  Milliseconds MaxElectionTime{1300};
};

/// How a call to the leader ended.
enum class CallOutcome : std::uint8_t {
  Answered,
  /// No leader took it: it has no effect, now or later.
  NotAccepted,
  /// The leader may have taken it.
  Unknown,
};

using CallDone =
    std::function<void(CallOutcome, const protocol::WorkflowAnswer &)>;

/// An entry VM's way to the leader: finds it, hands callers' requests to it,
/// and hands them to the next one when it changes. A request is sent again
/// when its answer is late, which is harmless, as submissions are known by
/// their id. Runs on the control thread.
class EntryGateway {
public:
  EntryGateway(EntryGatewayOptions options, asio::io_context &context,
               peers::Mailbox &mailbox, EventLog &events, const Clock &clock);

  void start();

  /// Hands a request to the leader. `patience` is how long the caller waits;
  /// the end comes earlier.
  void call(protocol::WorkflowCall call, Milliseconds timeout, CallDone done);

  /// Takes in an answer; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// Whether a leader answered lately.
  bool isConnected() const;

  const std::string &leader() const { return Leader; }

private:
  struct PendingCall {
    protocol::WorkflowCall Call;
    CallDone Done;
    SteadyTime Deadline;
    SteadyTime NextSend;
    /// An answer is missing that a leader may have given.
    bool Unanswered = false;
  };

  void scheduleTick();
  void tick();
  void sendHello();
  void resendOverdue();
  void send(PendingCall &call);
  void finish(std::uint64_t number, CallOutcome outcome,
              const protocol::WorkflowAnswer &answer);
  void handleAnswer(const protocol::WorkflowAnswer &answer);
  void handleWelcome(const protocol::Envelope &envelope);
  void dropLeader();
  bool canWait(const PendingCall &call) const;

  EntryGatewayOptions Options;
  asio::io_context &Context;
  peers::Mailbox &Outbox;
  EventLog &Events;
  const Clock &Time;
  asio::steady_timer Ticker;
  std::set<std::string> Controls;
  std::string Leader;
  SteadyTime LastWelcome{};
  SteadyTime LeaderlessSince{};
  SteadyTime NextHello{};
  std::uint64_t HelloSequence = 0;
  std::uint64_t NextCall = 1;
  std::map<std::uint64_t, PendingCall> Calls;
};

} // namespace masticwinch::workflow
