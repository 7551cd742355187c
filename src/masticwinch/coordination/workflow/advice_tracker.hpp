#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

struct AdviceTrackerOptions {
  /// Runners that one call may name; the limit of the advice service.
  std::size_t MaxRunnersPerCall = 100;
  /// Runners that the first calls for a step may name together. They are made
  /// at the same time: a wide gang that asked about its runners call after call
  /// would use up its slack before it knows enough of them.
  std::size_t MaxRunnersAsked = 600;
  /// Runners to be approved for each task. The room for a wide gang frees up
  /// piece by piece on its approved runners: the more there are, the less time
  /// pieces stand idle until all members fit.
  std::size_t ApprovedPerTask = 4;
  /// Estimated duration of the calls queued at one agent. Beyond it steps wait
  /// in the leader, where their rank can still change.
  Milliseconds MaxAgentBacklog{400};
  /// Calls estimated to take this long are slow. Some agents are reserved for
  /// fast calls, so that calls for lookups don't queue behind calls for gangs.
  Milliseconds SlowCallThreshold{100};
  /// Share of the agents reserved for fast calls, in thousandths.
  std::size_t FastAgentsPermille = 340;
  /// Minimum number of runners that a call names, if there are as many.
  std::size_t MinRunnersPerCall = 16;
  /// After this time a step that fits on none of its approved runners is asked
  /// about more runners.
  Milliseconds AskMoreAfter{700};
  /// The same for a step that has enough approved runners but finds no room.
  Milliseconds AskMoreWithEnoughAfter{10000};
  /// An agent that has sent no hello for this long gets no calls.
  Milliseconds AgentTimeout{2000};
  /// Time allowed for a call beyond its estimated duration.
  Milliseconds CallMargin{1000};
  /// A ticket counts as expired this long before its expiry, so that a start
  /// order reaches the runner in time.
  Milliseconds TicketMargin{150};
  /// Transfer time of an order and its result.
  Milliseconds TransferTime{10};
  Milliseconds RetryDelay{100};
  /// Number of the first call. Calls of leaders in different terms need
  /// different numbers: the answers to those of an earlier one may still
  /// arrive.
  std::uint64_t FirstOrder = 1;
};

/// A call to the advice service that an agent makes.
struct AdviceCall {
  std::uint64_t Order = 0;
  std::string Agent;
  StepKey Step;
  std::vector<std::string> Runners;
  Milliseconds Timeout{0};
};

/// Tracks which runners the advice service has approved for each step. The
/// service handles one call per VM at a time, and under load all calls together
/// take several times as long as one VM has; so they are distributed over
/// agents: entry VMs that make them for the leader. An approved runner stays
/// approved; its ticket expires and is renewed while the step waits.
class AdviceTracker {
public:
  explicit AdviceTracker(AdviceTrackerOptions options)
      : Options(options), NextOrder(options.FirstOrder) {}

  /// Records a hello of an agent, which offers to make calls.
  void agentSeen(const std::string &address, SteadyTime now);

  /// Adds a step. Does nothing if the step is known already.
  void addStep(const StepKey &step, const std::string &queue,
               const protocol::AdviceTerms &terms);
  void removeStep(const StepKey &step);

  /// Whether a call about this many runners can be made for the step now: the
  /// step has no answer yet, or has waited long enough for its approved
  /// runners, and an agent has capacity for the call.
  bool mayAsk(const StepKey &step, std::size_t runners, SteadyTime now,
              bool hasEnough = false) const;

  /// Calls for the candidates that no earlier call named, as far as agents have
  /// capacity; several calls if one can't name them all.
  void ask(const StepKey &step, const std::vector<std::string> &candidates,
           SteadyTime now, bool hasEnough = false);

  /// Renews the tickets of those approved runners that are about to expire, if
  /// an agent has capacity. Returns whether tickets of these runners are being
  /// renewed.
  bool renew(const StepKey &step, const std::vector<std::string> &runners,
             SteadyTime now);

  /// Whether renewing the tickets of all approved runners would be a slow call.
  bool isSlow(const StepKey &step) const;

  /// Approved runners of a step, including those with expired tickets.
  std::vector<std::string> approvedRunners(const StepKey &step) const;

  /// A ticket of an approved runner.
  struct Ticket {
    std::string Text;
    SteadyTime Until{};
  };
  using Tickets = std::map<std::string, Ticket>;

  /// Tickets of a step by runner, including expired ones; null if the step is
  /// unknown.
  const Tickets *ticketsOf(const StepKey &step) const;

  /// Whether a ticket is still usable now.
  bool isFresh(const Ticket &ticket, SteadyTime now) const {
    return ticket.Until - Options.TicketMargin > now;
  }

  /// Number of runners to ask about for a step with this many tasks: enough
  /// that as many as wanted are expected to be approved, by the approval rate
  /// of the queue so far; at least as many as add no more than the fixed
  /// duration of the call, so that there is a choice when the fleet is full.
  std::size_t askSize(const StepKey &step, std::size_t tasks) const;

  /// Number of these that one call names.
  std::size_t callSize(const StepKey &step, std::size_t tasks) const;

  /// Handles the result of a call. `approved` holds pairs of runner and ticket.
  void
  answered(std::uint64_t order, bool succeeded,
           const std::vector<std::pair<std::string, std::string>> &approved,
           Milliseconds validity, SteadyTime now);

  /// Fails calls that have timed out, for example because their agent died.
  void expire(SteadyTime now);

  /// The runner's ticket for the step; null if there is no usable one.
  const std::string *ticket(const StepKey &step, const std::string &runner,
                            SteadyTime now) const;

  /// Runners that successful calls for the step have named; null if the step is
  /// unknown.
  const std::set<std::string> *askedRunners(const StepKey &step) const;

  /// Whether a call for the step has succeeded.
  bool hasAnswer(const StepKey &step) const;

  /// Handles that a runner refused the ticket: it is not used again.
  void ticketRefused(const StepKey &step, const std::string &runner);

  /// Expires all tickets of a runner that has begun another life: each is valid
  /// during one life only. The runner stays approved.
  void expireTickets(const std::string &runner);

  std::vector<AdviceCall> takeCalls() { return std::exchange(NewCalls, {}); }

  std::size_t agentCount() const { return Agents.size(); }

private:
  struct StepAdvice {
    protocol::AdviceTerms Terms;
    std::string Queue;
    std::set<std::string> Asked;
    Tickets Approved;
    bool Answered = false;
    std::size_t PendingAsks = 0;
    /// Runners named in pending renewals.
    std::set<std::string> Renewing;
    SteadyTime NotBefore{};
    SteadyTime AskedAt{};
  };
  struct Agent {
    SteadyTime LastSeen{};
    SteadyTime BusyUntil{};
  };
  struct PendingCall {
    StepKey Step;
    std::string Agent;
    std::vector<std::string> Runners;
    SteadyTime Deadline;
    bool Renewal = false;
  };

  static Milliseconds estimatedDuration(const protocol::AdviceTerms &terms,
                                        std::size_t runners);
  bool call(const StepKey &step, StepAdvice &advice,
            std::vector<std::string> runners, bool renewal, SteadyTime now);
  void callAll(const StepKey &step, StepAdvice &advice,
               const std::vector<std::string> &runners, bool renewal,
               SteadyTime now);
  void renewExpiring(const StepKey &step, StepAdvice &advice,
                     const std::vector<std::string> &runners, SteadyTime until,
                     SteadyTime now);
  bool isAskDue(const StepAdvice &advice, bool hasEnough, SteadyTime now) const;
  bool isSlowCall(const StepAdvice &advice, std::size_t runners) const;
  const std::string *leastLoadedAgent(bool slow, SteadyTime now) const;

  AdviceTrackerOptions Options;
  struct ApprovalRate {
    std::uint64_t Asked = 0;
    std::uint64_t Approved = 0;
  };

  std::map<StepKey, StepAdvice> Steps;
  std::map<std::string, ApprovalRate> ApprovalRates;
  std::map<std::string, Agent> Agents;
  std::map<std::uint64_t, PendingCall> PendingCalls;
  std::uint64_t NextOrder;
  std::vector<AdviceCall> NewCalls;
};

} // namespace masticwinch::workflow
