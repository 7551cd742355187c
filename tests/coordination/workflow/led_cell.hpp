#pragma once

#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "tests/coordination/workflow/workflow_records.hpp"
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::tests {

/// A leader with its state, whose batches are stored at once. Orders to runners
/// and calls for advice are collected for the test to answer.
class LedCell {
public:
  explicit LedCell(workflow::WorkflowState state = configuredState(),
                   const workflow::WorkflowLeaderOptions &options = {})
      : State(std::move(state)), Leader(options, State, Now) {}

  /// A state with a configuration and nothing else.
  static workflow::WorkflowState configuredState() {
    workflow::WorkflowState state;
    protocol::WorkflowChange configured;
    *configured.mutable_configure() = configOf(1);
    state.apply(configured);
    return state;
  }

  void pass(Milliseconds time) {
    Now.Now += time;
    Now.UnixMs += static_cast<std::uint64_t>(time.count());
    Leader.tick(Now);
    collect();
  }

  void heartbeat(const protocol::RunnerInfo &info, std::uint64_t sequence,
                 std::int64_t clockMs) {
    Leader.heartbeat(
        info, sequence, clockMs, [] {}, Now);
    collect();
  }

  void submit(const std::string &id,
              const std::vector<protocol::StepSpec> &steps = {stepOf(1)}) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    *call.mutable_submit() = specOf(id, steps);
    Leader.call(
        call, [](const protocol::WorkflowAnswer &) {}, Now);
    collect();
  }

  void cancel(const std::string &id) {
    protocol::WorkflowCall call;
    call.set_host("host");
    call.set_path("/sheets/" + id);
    call.mutable_cancel();
    Leader.call(
        call, [](const protocol::WorkflowAnswer &) {}, Now);
    collect();
  }

  /// Answers the latest poll, and lets the leader act on the answer.
  void answerPoll(workflow::PollAnswer answer) {
    answer.Answer = workflow::OrderAnswer::Done;
    Leader.pollAnswered(Polls.back(), answer, Now);
    collect();
    pass(SchedulingTime);
  }

  /// Fails the latest poll, and waits until it is retried.
  void failPoll() {
    Leader.pollAnswered(Polls.back(), {}, Now);
    pass(workflow::RunnerRegistryOptions().RetryDelay);
  }

  void answerStart(workflow::OrderAnswer answer) {
    Leader.startAnswered(Starts.back(), answer, Now);
    collect();
  }

  const workflow::Task &task(const std::string &id,
                             std::uint32_t index = 0) const {
    return *State.findTask({{id, 0, 0}, index});
  }

  workflow::Phase phase(const std::string &id) const {
    return State.find(id)->CurrentPhase;
  }

  /// Long enough for a scheduling pass and the delay between polls.
  static constexpr Milliseconds SchedulingTime{30};

  workflow::Moment Now{SteadyTime{std::chrono::seconds(100)}, 100'000};
  workflow::WorkflowState State;
  workflow::WorkflowLeader Leader;
  std::vector<workflow::StartOrder> Starts;
  std::vector<workflow::StopOrder> Stops;
  std::vector<workflow::PollOrder> Polls;
  std::vector<workflow::AdviceCall> Advice;
  std::vector<workflow::WorkflowOutcome> Outcomes;
  std::vector<workflow::WorkflowEvent> Events;

private:
  template <class Order>
  static void append(std::vector<Order> &to, std::vector<Order> &from) {
    to.insert(to.end(), from.begin(), from.end());
  }

  void collect() {
    for (bool stored = true; stored;) {
      workflow::WorkflowEffects effects = Leader.takeEffects(Now);
      append(Starts, effects.Starts);
      append(Stops, effects.Stops);
      append(Polls, effects.Polls);
      append(Advice, effects.Advice);
      append(Outcomes, effects.Outcomes);
      append(Events, effects.Events);
      for (const workflow::ProposedBatch &it : effects.Batches) {
        State.apply(it.Record);
        Leader.stored(it, Now);
      }
      stored = !effects.Batches.empty();
    }
  }
};

} // namespace masticwinch::tests
