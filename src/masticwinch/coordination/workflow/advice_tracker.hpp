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
  /// Runners that one call may name; the service's limit.
  std::size_t MaxRunnersPerCall = 100;
  /// Estimated work that may wait at one agent; beyond it a step waits here,
  /// where the order of steps still can change.
  Milliseconds MaxAgentBacklog{400};
  /// Calls that take this long are slow. They leave some agents to the others,
  /// so that lookups don't wait behind gangs.
  Milliseconds SlowCallThreshold{100};
  /// Share of the agents that slow calls leave, in thousandths.
  std::size_t FastAgentsPermille = 340;
  /// Fewest runners that a call names, if there are as many.
  std::size_t MinRunnersPerCall = 16;
  /// A step that can't be placed for so long on what was approved is asked
  /// about further runners.
  Milliseconds AskMoreAfter{700};
  /// An agent that was not heard from for this long gets no calls.
  Milliseconds AgentTimeout{2000};
  /// Time allowed for a call beyond its estimate.
  Milliseconds CallMargin{1000};
  /// A ticket is not used this shortly before its end, so that a start reaches
  /// the runner in time.
  Milliseconds TicketMargin{150};
  /// Time for an order and its result on their way.
  Milliseconds TransferTime{10};
  Milliseconds RetryDelay{100};
};

/// A call to the advice service, to be made by an agent.
struct AdviceCall {
  std::uint64_t Order = 0;
  std::string Agent;
  StepKey Step;
  std::vector<std::string> Runners;
  Milliseconds Timeout{0};
};

/// Which runners may run a step, as the advice service said. The service takes
/// one call of a VM at a time, so that the calls are spread over agents: entry
/// VMs that make them for the leader. The approved set of a step doesn't
/// change; its tickets lapse and are renewed while the step waits. Answers the
/// load of steps whose advice takes several times as long as one VM has.
class AdviceTracker {
public:
  explicit AdviceTracker(AdviceTrackerOptions options) : Options(options) {}

  /// An agent offers to make calls.
  void agentSeen(const std::string &address, SteadyTime now);

  /// Begins to ask for a step. Does nothing for a known one.
  void addStep(const StepKey &step, const std::string &queue,
               const protocol::AdviceTerms &terms);
  void removeStep(const StepKey &step);

  /// Whether the step can be asked about now: it was not yet, or has waited for
  /// long on what was approved; and an agent has time for a call about so many
  /// runners.
  bool mayAsk(const StepKey &step, std::size_t runners, SteadyTime now) const;

  /// Asks about candidates that were not asked about yet, if an agent has time.
  void ask(const StepKey &step, const std::vector<std::string> &candidates,
           SteadyTime now);

  /// Renews the tickets of approved runners if one of them is about to lapse
  /// and an agent has time. Returns whether a call for the step is under way.
  bool renew(const StepKey &step, const std::vector<std::string> &runners,
             SteadyTime now);

  /// Whether a renewal for all approved runners would be a slow call.
  bool isSlow(const StepKey &step) const;

  /// Approved runners of a step, with lapsed tickets or not.
  std::vector<std::string> approvedRunners(const StepKey &step) const;

  /// A ticket of an approved runner.
  struct Ticket {
    std::string Text;
    SteadyTime Until{};
  };
  using Tickets = std::map<std::string, Ticket>;

  /// Tickets of a step by runner, lapsed ones too; null if the step is unknown.
  const Tickets *ticketsOf(const StepKey &step) const;

  /// Whether a ticket can be used now.
  bool isFresh(const Ticket &ticket, SteadyTime now) const {
    return ticket.Until - Options.TicketMargin > now;
  }

  /// How many runners a call for a step of so many tasks names: enough that
  /// those approved have room for twice as many, by the share that was approved
  /// of the queue's steps so far; and as many as cost no more than the fixed
  /// part of the call, so that a full fleet leaves a choice.
  std::size_t callSize(const StepKey &step, std::size_t tasks) const;

  /// A call's result. `approved` holds pairs of runner and ticket.
  void
  answered(std::uint64_t order, bool succeeded,
           const std::vector<std::pair<std::string, std::string>> &approved,
           Milliseconds validity, SteadyTime now);

  /// Gives up calls whose time is over, as when their agent died.
  void expire(SteadyTime now);

  /// A ticket that can be used now; null if there is none.
  const std::string *ticket(const StepKey &step, const std::string &runner,
                            SteadyTime now) const;

  /// Runners that the service was asked about for the step; null if the step is
  /// unknown.
  const std::set<std::string> *askedRunners(const StepKey &step) const;

  /// Whether a call for the step has succeeded.
  bool hasAnswer(const StepKey &step) const;

  /// A runner refused the ticket.
  void ticketRefused(const StepKey &step, const std::string &runner);

  std::vector<AdviceCall> takeCalls() { return std::exchange(NewCalls, {}); }

  std::size_t agentCount() const { return Agents.size(); }

private:
  struct StepAdvice {
    protocol::AdviceTerms Terms;
    std::string Queue;
    std::set<std::string> Asked;
    Tickets Approved;
    bool Answered = false;
    bool CallPending = false;
    SteadyTime NotBefore{};
    SteadyTime AskMoreAt{};
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
  void call(const StepKey &step, StepAdvice &advice,
            std::vector<std::string> runners, bool renewal, SteadyTime now);
  bool isAskDue(const StepAdvice &advice, SteadyTime now) const;
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
  std::uint64_t NextOrder = 1;
  std::vector<AdviceCall> NewCalls;
};

} // namespace masticwinch::workflow
