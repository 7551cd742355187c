#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/entry_terms.hpp"
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
  /// Addresses of the control VMs from the settings.
  std::vector<std::string> Controls;
  /// Time between hellos to the leader.
  Milliseconds HelloInterval{350};
  /// Time between hellos to all control VMs while no leader is known.
  Milliseconds SearchInterval{100};
  /// The leader counts as lost when it has not answered for this long.
  Milliseconds LeaderTimeout{800};
  /// A call without an answer is sent again after this time.
  Milliseconds ResendAfter{400};
  /// Longest time that a call waits for its answer.
  Milliseconds MaxWait{2000};
  /// A call with less time than this ends at once, because an answer takes two
  /// round trips and a disk sync.
  Milliseconds MinWait{20};
  /// A call waits for a leader while an election may be in progress. If no
  /// leader has been found for this long, something else is wrong, and calls
  /// are refused at once until a leader is found.
  Milliseconds MaxElectionTime{1300};
};

/// How a call to the leader ended.
enum class CallOutcome : std::uint8_t {
  Answered,
  /// No leader received it, so it has no effect now or later.
  NotAccepted,
  /// The caller waits too briefly for an answer. It was not sent, so it has no
  /// effect now or later.
  TooLittleTime,
  /// A leader may have accepted it.
  Unknown,
};

using CallDone =
    std::function<void(CallOutcome, const protocol::WorkflowAnswer &)>;

/// Connects an entry VM to the leader: finds it, sends it callers' requests,
/// and sends pending requests to the new leader after a change. A request whose
/// answer is late is sent again, which is safe because submissions are
/// deduplicated by id. Runs on the control thread.
class EntryGateway {
public:
  EntryGateway(EntryGatewayOptions options, asio::io_context &context,
               peers::Mailbox &mailbox, EventLog &events, const Clock &clock);

  void start();

  /// Sends a request to the leader. `timeout` is how long the caller waits; the
  /// call ends after it, after the queue's timeout as far as it is known, or
  /// after `MaxWait`, whichever is shortest.
  void call(protocol::WorkflowCall call, Milliseconds timeout, CallDone done);

  /// Handles answers and welcomes; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// Whether a leader is known and has answered within the timeout.
  bool isConnected() const;

  const std::string &leader() const { return Leader; }

  /// What is known of the leader's configuration.
  const EntryTerms &terms() const { return Terms; }

  /// The first configured limit that a request exceeds. Nothing while the
  /// limits may be outdated, since no leader has confirmed them lately.
  std::optional<ExceededLimit> exceededLimit(std::size_t headerBytes,
                                             std::size_t bodyBytes) const;

private:
  struct PendingCall {
    protocol::WorkflowCall Call;
    CallDone Done;
    SteadyTime Deadline;
    /// Until when the caller waits, which may be longer.
    SteadyTime CallerDeadline;
    /// Ends the call at its deadline, which may be before the next tick.
    asio::steady_timer Expiry;
    SteadyTime NextSend;
    /// Set once the call was sent, so that a leader may have accepted it.
    bool Unanswered = false;
  };

  void scheduleTick();
  void tick();
  void sendHello();
  void resendOverdue();
  void expireAfter(PendingCall &call, Milliseconds wait);
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
  EntryTerms Terms;
  std::map<std::uint64_t, PendingCall> Calls;
};

} // namespace masticwinch::workflow
