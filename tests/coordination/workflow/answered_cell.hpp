#pragma once

#include "tests/coordination/workflow/led_cell.hpp"
#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::tests {

/// Runners i-0, i-1 and so on with 32 cores each, which are answered for; the
/// first ones may have the label "left". Their runs end when the test says so.
struct AnsweredCell : LedCell {
  explicit AnsweredCell(std::size_t runners, std::size_t labelled = 0,
                        const workflow::WorkflowLeaderOptions &options = {})
      : LedCell(stateWithRunners(runners, labelled), options) {
    advance(Milliseconds(100));
  }

  static workflow::WorkflowState stateWithRunners(std::size_t count,
                                                  std::size_t labelled) {
    workflow::WorkflowState state = configuredState();
    for (std::size_t i = 0; i < count; ++i) {
      protocol::WorkflowChange change;
      protocol::RunnerInfo &info = *change.mutable_runner()->mutable_runner();
      info = runnerOf("i-" + std::to_string(i));
      if (i < labelled) {
        info.add_labels("left");
      }
      state.apply(change);
    }
    return state;
  }

  void advance(Milliseconds time) {
    for (Milliseconds passed{0}; passed < time; passed += SchedulingTime) {
      pass(SchedulingTime);
      for (; AnsweredStarts < Starts.size(); ++AnsweredStarts) {
        const workflow::StartOrder &it = Starts[AnsweredStarts];
        Running[it.Runner].push_back({it.Run, ""});
        Leader.startAnswered(it, workflow::OrderAnswer::Done, Now);
      }
      for (const workflow::PollOrder &it : std::exchange(Polls, {})) {
        workflow::PollAnswer answer;
        answer.Answer = workflow::OrderAnswer::Done;
        answer.ClockMs = std::int64_t(Now.UnixMs);
        answer.Running = Running[it.Runner];
        answer.Ended = Ended[it.Runner];
        Leader.pollAnswered(it, answer, Now);
      }
    }
  }

  /// Ends all runs on a runner as done.
  void endRunsOn(const std::string &runner) {
    for (const workflow::RunningRun &it : std::exchange(Running[runner], {})) {
      Ended[runner].push_back(
          {Ended[runner].size() + 1, it.Run, protocol::RUN_DONE, ""});
    }
  }

  std::size_t startsOf(const std::string &id) const {
    return std::size_t(std::count_if(Starts.begin(), Starts.end(),
                                     [&](const workflow::StartOrder &it) {
                                       return it.Run.Task.Step.Workflow == id;
                                     }));
  }

  std::size_t AnsweredStarts = 0;
  std::map<std::string, std::vector<workflow::RunningRun>> Running;
  std::map<std::string, std::vector<workflow::EndedRun>> Ended;
};

} // namespace masticwinch::tests
