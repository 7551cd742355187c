#pragma once

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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
  Heartbeat,
  ChangeLeader,
  RestoreSnapshot,
  Configure,
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
/// the rules of fencing and leases. Orders and answers are lost, delayed or
/// reordered, and the leader changes while batches are in flight. Throws
/// `std::logic_error` if a start order violates an invariant.
class WorkflowSimulator {
public:
  WorkflowSimulator();

  void perform(const WorkflowAction &action);

private:
  enum class OrderKind : std::uint8_t { Start, Stop, Poll };
  struct Order {
    OrderKind Kind = OrderKind::Start;
    std::uint64_t Term = 0;
    workflow::StartOrder Start;
    workflow::StopOrder Stop;
    workflow::PollOrder Poll;
  };
  struct Runner {
    protocol::RunnerInfo Info;
    std::uint64_t Token = 0;
    std::int64_t LeaseUntilMs = 0;
    std::map<workflow::RunKey, workflow::ResourceAmounts> Runs;
    /// Highest run of each task that was stopped or has ended.
    std::map<workflow::TaskKey, std::uint32_t> Closed;
    std::vector<workflow::EndedRun> Ended;
    std::uint64_t LastEndNumber = 0;
    std::uint64_t Sequence = 0;
  };

  // workflow_simulator.cpp
  workflow::Moment at() const;
  std::int64_t clockMs() const;
  void apply(const protocol::WorkflowRecord &record);
  void collect();
  void submit(std::uint8_t kind, std::uint8_t queue);
  void submitAs(const std::string &id, std::uint8_t kind, std::uint8_t queue);
  void storeBatch();
  void deliver(Order order, bool answered);
  void checkOrderedStart(const workflow::StartOrder &order);
  void answerAdvice(std::uint8_t choice, bool succeeded);
  void changeLeader(std::uint8_t stored);
  void restoreSnapshot();
  void configure(std::uint8_t choice);
  Runner *runnerAt(std::uint8_t choice);
  Order takeOrder(std::uint8_t choice);

  // simulated_runners.cpp
  workflow::OrderAnswer checkToken(const std::string &id, std::uint64_t token);
  workflow::OrderAnswer start(const Order &order);
  void checkStart(const Runner &runner, const workflow::RunKey &run,
                  const workflow::ResourceAmounts &needs) const;
  workflow::OrderAnswer stop(const Order &order);
  workflow::PollAnswer poll(const Order &order);
  void recordEnd(Runner &runner, const workflow::RunKey &run,
                 protocol::RunEnd how);
  void finishRun(Runner &runner, const workflow::RunKey &run, bool done);
  void addRunner();
  void heartbeat(Runner &runner);
  void advanceTime(Milliseconds time);

  SteadyTime Now;
  workflow::WorkflowState State;
  std::unique_ptr<workflow::WorkflowLeader> Leader;
  std::uint64_t Term = 0;
  std::uint64_t ConfigVersion = 0;
  std::deque<workflow::ProposedBatch> Batches;
  std::deque<Order> Orders;
  std::deque<workflow::AdviceCall> Advice;
  std::map<std::string, Runner> Runners;
  std::vector<std::string> Submitted;
  /// Runs for which start orders were sent, by term.
  std::set<std::pair<std::uint64_t, workflow::RunKey>> OrderedStarts;
  std::uint64_t NextRunner = 0;
};

/// Runs a session; throws `std::logic_error` if an invariant is violated.
void runSession(const std::vector<WorkflowAction> &actions);

} // namespace masticwinch::fuzzing
