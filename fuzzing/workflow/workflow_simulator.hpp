#pragma once

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::fuzzing {

/// Kinds of actions in a simulated session.
enum class WorkflowActionKind : std::uint8_t {
  Submit,
  SubmitAgain,
  Cancel,
  QueryState,
  StoreBatch,
  DeliverOrder,
  LoseOrder,
  LoseAnswer,
  EndRun,
  AdvanceTime,
  AnswerAdvice,
  FailAdvice,
  AgentSeen,
  RunnerStarts,
  RunnerCrashes,
  RunnerDrains,
  RunnerLeaves,
  RunnerReborn,
  Heartbeat,
  DeliverHeldMessage,
  HoldAnswer,
  DeliverAnswer,
  ChangeLeader,
  RestoreSnapshot,
  Configure,
  ChangeCapacity,
};

/// An action; `A` and `B` select its target or parameters.
struct WorkflowAction {
  WorkflowActionKind Kind = WorkflowActionKind::AdvanceTime;
  std::uint8_t A = 0;
  std::uint8_t B = 0;
};

/// Writes an action as `{kind, A, B}`.
std::ostream &operator<<(std::ostream &out, const WorkflowAction &action);

/// Simulates a replicated workflow state, its leader, and runners that follow
/// the rules of fencing and leases. Orders, answers and messages of runners are
/// lost, delayed or reordered, the leader changes while batches are in flight,
/// and runners start again under their ids. Accounts have caps that change.
/// Throws `std::logic_error` if an invariant is violated.
class WorkflowSimulator {
public:
  WorkflowSimulator();

  void perform(const WorkflowAction &action);

  /// Delivers and stores everything without a loss and lets time pass until
  /// nothing is left to do. Throws `std::logic_error` if work that could run is
  /// left.
  void settle();

private:
  enum class OrderKind : std::uint8_t { Start, Stop, Poll };
  struct Order {
    OrderKind Kind = OrderKind::Start;
    std::uint64_t Term = 0;
    workflow::StartOrder Start;
    workflow::StopOrder Stop;
    workflow::PollOrder Poll;
    std::int64_t SentAtMs = 0;
    /// Counts the orders in the sequence in which they are sent.
    std::uint64_t Number = 0;
  };
  /// The outcome of an order, on its way to the leader.
  struct Answer {
    Order To;
    workflow::OrderAnswer Result = workflow::OrderAnswer::Silent;
    workflow::PollAnswer Poll;
  };
  struct Run {
    workflow::ResourceAmounts Needs;
    std::string Account;
    std::int64_t StartedAtMs = 0;
  };
  struct End {
    workflow::EndedRun Listed;
    /// An answer that lists the end has reached the leader.
    bool Heard = false;
    /// The runner's lease has expired since.
    bool Lapsed = false;
    /// Number of times that the task had started before.
    std::uint64_t Starts = 0;
  };
  /// One life of a runner.
  struct Runner {
    protocol::RunnerInfo Info;
    std::int64_t BeganAtMs = 0;
    /// The runner's clock at the simulated time 0.
    std::int64_t ClockOffsetMs = 0;
    std::uint64_t Token = 0;
    std::int64_t LeaseUntilMs = 0;
    std::map<workflow::RunKey, Run> Runs;
    /// Highest run of each task that was stopped or has ended.
    std::map<workflow::TaskKey, std::uint32_t> Closed;
    std::vector<End> Ended;
    std::uint64_t LastEndNumber = 0;
    std::uint64_t Sequence = 0;
    /// What the leader was last told of the capacity, and when; empty before
    /// that.
    std::optional<workflow::ResourceAmounts> ToldCapacity;
    std::uint64_t ToldSequence = 0;
    /// Number of orders that were sent before.
    std::uint64_t ToldAfterOrder = 0;
    /// Set if it has deregistered and got no acknowledgement: when it ends.
    std::optional<std::int64_t> EndsAtMs;
  };
  /// A heartbeat or deregistration that is delayed.
  struct Message {
    protocol::RunnerInfo Info;
    std::uint64_t Sequence = 0;
    std::int64_t ClockMs = 0;
    bool Leaving = false;
  };
  /// A runner that is down until it starts again under its id.
  struct Restart {
    std::int64_t BeginsAtMs = 0;
    std::int64_t ClockMs = 0;
    bool SendsHeartbeat = false;
  };
  /// A ticket of the advice service.
  struct Ticket {
    workflow::StepKey Step;
    std::string Runner;
    std::uint64_t BornUnixMs = 0;
    std::int64_t UntilMs = 0;
  };

  // workflow_simulator.cpp
  workflow::Moment at() const;
  std::int64_t clockMs() const;
  void apply(const protocol::WorkflowRecord &record);
  void collect();
  void submit(std::uint8_t kind, std::uint8_t queue);
  void submitAs(const std::string &id, std::uint8_t kind, std::uint8_t queue);
  void storeBatch();
  Answer carryOut(Order order);
  void answer(const Answer &answer);
  void checkOrderedStart(const workflow::StartOrder &order);
  void answerAdvice(std::uint8_t choice, bool succeeded);
  void changeLeader(std::uint8_t stored);
  void restoreSnapshot();
  void configure(std::uint8_t choice);
  Runner *runnerAt(std::uint8_t choice);
  Order takeOrder(std::uint8_t choice);
  void loseOrder(const Order &lost);
  void checkBegun() const;

  // simulated_runners.cpp
  std::int64_t clockMs(const Runner &runner) const;
  workflow::OrderAnswer checkToken(const std::string &id, std::uint64_t token);
  workflow::OrderAnswer start(const Order &order);
  bool acceptsTicket(const Runner &runner,
                     const workflow::StartOrder &order) const;
  void checkStart(const Runner &runner, const workflow::RunKey &run,
                  const workflow::ResourceAmounts &needs,
                  std::uint64_t orderNumber) const;
  workflow::OrderAnswer stop(const Order &order);
  workflow::PollAnswer poll(const Order &order);
  void acknowledge(const std::string &id, const End &end);
  void hear(const std::string &id, const workflow::PollAnswer &answer);
  void extendLease(Runner &runner, std::int64_t untilMs) const;
  void recordEnd(Runner &runner, const workflow::RunKey &run,
                 protocol::RunEnd how);
  void finishRun(Runner &runner, const workflow::RunKey &run, bool done);
  std::vector<std::pair<Runner *, workflow::RunKey>>
  membersOf(const workflow::RunKey &run);
  void addRunner();
  void beginLife(const std::string &id, std::int64_t clockMs);
  void restart(std::uint8_t choice, std::uint8_t clock);
  void beginDueLives();
  void leave(Runner &runner, bool held);
  void leaveUnacknowledged(Runner &runner);
  void endLeaving();
  void heartbeat(Runner &runner, bool held = false);
  void deliverMessage(const Message &message);
  void advanceTime(Milliseconds time);
  void endLapsed(Runner &runner);
  void endLoneMembers(Runner &runner);

  // simulated_accounts.cpp
  /// An assignment of a run, and the cap that was in force when the leader
  /// decided on it.
  struct Assignment {
    std::uint64_t Number = 0;
    workflow::ResourceAmounts Cap;
  };
  static void addAccounts(protocol::CellConfig &config);
  static void changeAccounts(protocol::CellConfig &config, std::uint8_t choice);
  std::string keyFor(const std::string &id, std::uint8_t choice);
  workflow::ResourceAmounts capOf(const std::string &account) const;
  std::string accountOfRun(const workflow::RunKey &run) const;
  void noteAssigned(const protocol::WorkflowRecord &record);
  void checkCap(const std::string &account) const;
  bool fitsBelowCap(const workflow::StepKey &key,
                    const protocol::StepSpec &spec, std::size_t tasks) const;

  // simulated_crashes.cpp
  bool isDeadly(const workflow::TaskKey &task) const;
  void countCrash(const Runner &runner);
  void crashDeadly();
  void countDeadlyStart(const workflow::TaskKey &task);
  void checkFailed() const;
  void changeCapacity(Runner &runner, std::uint8_t choice);
  void noteTold(const Message &message);

  // simulated_rest.cpp
  void deliverEverything();
  void finishRuns();
  std::string workLeft() const;
  std::string workLeft(const workflow::StepKey &key,
                       const protocol::StepSpec &spec) const;
  std::string strayRun() const;
  bool runs(const std::string &runner, const workflow::RunKey &run) const;
  bool fits(const workflow::StepKey &key, const protocol::StepSpec &spec,
            std::size_t tasks) const;

  SteadyTime Now;
  workflow::WorkflowState State;
  std::unique_ptr<workflow::WorkflowLeader> Leader;
  std::uint64_t Term = 0;
  std::uint64_t ConfigVersion = 0;
  std::deque<workflow::ProposedBatch> Batches;
  std::deque<Order> Orders;
  std::deque<Answer> Answers;
  std::deque<Message> HeldMessages;
  std::deque<workflow::AdviceCall> Advice;
  /// Runners that are up.
  std::map<std::string, Runner> Runners;
  std::map<std::string, Restart> Restarts;
  /// The start of the latest life of each runner that there ever was.
  std::map<std::string, std::uint64_t> LatestBirth;
  /// Ids of runners that crashed and whose address nothing answers at.
  std::set<std::string> Silent;
  std::vector<std::string> Submitted;
  /// The key with which each workflow was submitted.
  std::map<std::string, std::string> Keys;
  /// The latest assignment of each run.
  std::map<workflow::RunKey, Assignment> Assigned;
  std::uint64_t Assignments = 0;
  /// Runs for which start orders were sent, by term.
  std::set<std::pair<std::uint64_t, workflow::RunKey>> OrderedStarts;
  /// Number of times that each task was started.
  std::map<workflow::TaskKey, std::uint64_t> Starts;
  /// Tasks of which a run ended as done, and that end was acknowledged.
  std::set<workflow::TaskKey> Done;
  std::map<std::string, Ticket> Tickets;
  /// Whether the advice service approves a runner for a step.
  std::map<std::pair<workflow::StepKey, std::string>, bool> Approvals;
  std::uint64_t NextRunner = 0;
  std::uint64_t OrdersSent = 0;
  /// Workflows whose tasks crash the runners that start them.
  std::set<std::string> Deadly;
  /// Number of runners whose life ended while they ran the task.
  std::map<workflow::TaskKey, std::uint32_t> CrashesUnder;
  /// Number of starts of a deadly task after three such crashes.
  std::map<workflow::TaskKey, std::uint32_t> StartsOverBudget;
  /// Number of failed runs of a step.
  std::map<workflow::StepKey, std::uint32_t> FailedRuns;
  /// Crashed runners, and when others take their places.
  std::deque<std::pair<std::int64_t, std::string>> Replacements;
};

/// Runs a session until it is at rest; throws `std::logic_error` if an
/// invariant is violated.
void runSession(const std::vector<WorkflowAction> &actions);

} // namespace masticwinch::fuzzing
