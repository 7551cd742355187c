#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/call_copies.hpp"
#include "masticwinch/coordination/workflow/entry_terms.hpp"
#include "masticwinch/coordination/workflow/leader_delay.hpp"
#include "masticwinch/coordination/workflow/offer_policy.hpp"
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
  /// Capacity of this VM's link, which the leader is told; 0 if it isn't known.
  std::uint32_t LinkKbps = 0;
  /// Time between hellos to the leader.
  Milliseconds HelloInterval{350};
  /// Time between hellos to all control VMs while no leader is known.
  Milliseconds SearchInterval{100};
  /// The leader counts as lost when it has not answered for this long.
  Milliseconds LeaderTimeout{800};
  /// Shortest time after which a call without an answer is sent again.
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
  /// Calls other than cancellations are refused at once while the leader takes
  /// longer than this to answer, or longer than the caller waits.
  Milliseconds MaxLeaderDelay{800};
  /// Calls that wait for an answer at the same time, and their size. Further
  /// ones are refused at once.
  std::size_t MaxCalls = 2048;
  std::size_t MaxCallBytes = 16 * 1024 * 1024;
  /// When submissions are sent as offers first.
  OfferPolicyOptions Offers = {};
};

/// How a call to the leader ended.
enum class CallOutcome : std::uint8_t {
  Answered,
  /// No leader received it, so it has no effect now or later.
  NotAccepted,
  /// Refused without sending it, because too many others wait.
  TooManyWait,
  /// Refused without sending it, because the leader is too busy to answer it in
  /// time.
  LeaderBusy,
  /// The caller waits too briefly for an answer. It was not sent, so it has no
  /// effect now or later.
  TooLittleTime,
  /// A leader may have accepted it.
  Unknown,
};

using CallDone =
    std::function<void(CallOutcome, const protocol::WorkflowAnswer &)>;

/// Connects an entry VM to the leader: finds it, sends it callers' requests,
/// and sends pending requests to the new leader after a change. A request that
/// was lost on its way is sent again, which is safe because submissions are
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

  /// Number and size of the calls that wait for an answer.
  std::size_t waitingCalls() const { return Calls.size(); }
  std::size_t waitingBytes() const { return CallBytes; }

  /// How long the leader takes to answer; zero if there is none.
  Milliseconds leaderDelay() const {
    return Leader.empty() ? Milliseconds(0) : Delay.estimate(Time.now());
  }

  /// Number of offers that the leader has answered like this.
  std::uint64_t answeredOffers(OfferOutcome outcome) const {
    const auto it = AnsweredOffers.find(outcome);
    return it == AnsweredOffers.end() ? 0 : it->second;
  }

  /// What is known of the leader's configuration.
  const EntryTerms &terms() const { return Terms; }

  /// The first configured limit that a request exceeds. Nothing while the
  /// limits may be outdated, since no leader has confirmed them lately.
  std::optional<ExceededLimit> exceededLimit(std::size_t headerBytes,
                                             std::size_t bodyBytes) const;

  /// Whether the call has no key and its queue is known to need one. False
  /// while what is known may be outdated; the leader then decides.
  bool lacksKey(const protocol::WorkflowCall &call) const;

private:
  struct PendingCall {
    protocol::WorkflowCall Call;
    std::size_t Bytes = 0;
    CallDone Done;
    SteadyTime Deadline;
    /// Until when the caller waits, which may be longer.
    SteadyTime CallerDeadline;
    CallCopies Copies;
    /// Whether the latest copy was an offer.
    bool Offered = false;
    /// The leader that has asked for the whole submission; it gets no further
    /// offer of it.
    std::string WantedBy;
    /// Ends the call at its deadline, which may be before the next tick.
    asio::steady_timer Expiry;
  };

  std::optional<CallOutcome> refusalOf(const protocol::WorkflowCall &call,
                                       std::size_t bytes,
                                       Milliseconds wait) const;
  void scheduleTick();
  void tick();
  void sendHello();
  void endOverdue();
  void sendDue();
  void expireAfter(PendingCall &call, Milliseconds wait);
  void send(PendingCall &call);
  void sendWhole(PendingCall &call, const std::string &sender);
  void finish(std::uint64_t number, CallOutcome outcome,
              const protocol::WorkflowAnswer &answer);
  void handleAnswer(const std::string &sender,
                    const protocol::WorkflowAnswer &answer);
  void handleWelcome(const protocol::Envelope &envelope);
  bool isOutdated(const protocol::WorkflowAnswer &answer) const;
  bool knowsTerms() const;
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
  /// Term of the leader; 0 if it hasn't stated it.
  std::uint64_t LeaderTerm = 0;
  SteadyTime LastWelcome{};
  SteadyTime LeaderlessSince{};
  SteadyTime NextHello{};
  std::uint64_t HelloSequence = 0;
  /// The latest hello that the leader has answered.
  std::uint64_t AnsweredHello = 0;
  std::uint64_t NextCall = 1;
  EntryTerms Terms;
  std::map<std::uint64_t, PendingCall> Calls;
  /// Size of all of `Calls`.
  std::size_t CallBytes = 0;
  LeaderDelay Delay;
  OfferPolicy Offers;
  /// Whether the leader answers offers; others would accept a submission
  /// without its payload.
  bool TakesOffers = false;
  std::map<OfferOutcome, std::uint64_t> AnsweredOffers;
};

} // namespace masticwinch::workflow
