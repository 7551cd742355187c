#include <fmt/format.h>

#include "fuzzing/workflow/workflow_simulator.hpp"
#include <algorithm>
#include <array>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

/// Time from a deadly start to the crash, and from the crash until another
/// runner takes the place.
constexpr std::int64_t CrashAfterMs = 10;
constexpr std::int64_t ReplacementTimeMs = 1500;

/// After so many crashes a deadly task may start so many times more.
constexpr std::uint32_t CrashesInBudget = 3;
constexpr std::uint32_t StartsInBudget = 2;

/// The configured number of attempts, and of crashes under a task without which
/// its workflow may not be given up.
constexpr std::uint32_t MaxAttempts = 2;
constexpr std::uint32_t MinCrashes = 2;

constexpr std::array<std::uint32_t, 5> Processors{8000, 4000, 1000, 0, 8000};

} // namespace

bool WorkflowSimulator::isDeadly(const TaskKey &task) const {
  return Deadly.contains(task.Step.Workflow);
}

/// Counts the end of a runner's life for all that it runs.
void WorkflowSimulator::countCrash(const Runner &runner) {
  for (const auto &[run, it] : runner.Runs) {
    ++CrashesUnder[run.Task];
  }
}

/// Crashes the runners of deadly tasks. Half of them refuse calls from then on,
/// at the others nothing answers.
void WorkflowSimulator::crashDeadly() {
  while (!Replacements.empty() && Replacements.front().first <= clockMs()) {
    // The next incarnation answers at the address.
    Silent.erase(Replacements.front().second);
    Replacements.pop_front();
    addRunner();
  }
  for (auto it = Runners.begin(); it != Runners.end();) {
    const bool crashes = std::any_of(
        it->second.Runs.begin(), it->second.Runs.end(), [&](const auto &run) {
          return isDeadly(run.first.Task) &&
                 clockMs() - run.second.StartedAtMs >= CrashAfterMs;
        });
    if (!crashes) {
      ++it;
      continue;
    }
    countCrash(it->second);
    if (it->first.back() % 2 == 0) {
      Silent.insert(it->first);
    }
    Replacements.emplace_back(clockMs() + ReplacementTimeMs, it->first);
    it = Runners.erase(it);
  }
}

void WorkflowSimulator::countDeadlyStart(const TaskKey &task) {
  if (!isDeadly(task) || CrashesUnder[task] < CrashesInBudget) {
    return;
  }
  if (++StartsOverBudget[task] > StartsInBudget) {
    throw std::logic_error(
        fmt::format("{} starts again after {} runners have crashed under it",
                    textOf(task), CrashesUnder[task]));
  }
}

/// A workflow fails only after enough failed runs of a step, or crashes under a
/// task.
void WorkflowSimulator::checkFailed() const {
  for (const auto &[id, workflow] : State.workflows()) {
    const auto ofWorkflow = [&id = id](const StepKey &key) {
      return key.Workflow == id;
    };
    const bool mayFail =
        workflow.CurrentPhase != Phase::Failed ||
        std::any_of(FailedRuns.begin(), FailedRuns.end(),
                    [&](const auto &it) {
                      return ofWorkflow(it.first) && it.second >= MaxAttempts;
                    }) ||
        std::any_of(
            CrashesUnder.begin(), CrashesUnder.end(), [&](const auto &it) {
              return ofWorkflow(it.first.Step) && it.second >= MinCrashes;
            });
    if (!mayFail) {
      throw std::logic_error(fmt::format("{} was given up without cause", id));
    }
  }
}

void WorkflowSimulator::changeCapacity(Runner &runner, std::uint8_t choice) {
  runner.Info.mutable_capacity()->set_milli_processors(
      Processors[choice % Processors.size()]);
  heartbeat(runner, choice % 4 == 3);
}

/// Notes what a heartbeat tells the leader of a runner's capacity.
void WorkflowSimulator::noteTold(const Message &message) {
  const auto found = Runners.find(message.Info.id());
  if (found == Runners.end() ||
      found->second.Info.born_unix_ms() != message.Info.born_unix_ms() ||
      message.Sequence <= found->second.ToldSequence) {
    return;
  }
  Runner &runner = found->second;
  const ResourceAmounts told = amountsOf(message.Info.capacity());
  runner.ToldSequence = message.Sequence;
  if (runner.ToldCapacity != told) {
    runner.ToldAfterOrder = OrdersSent;
  }
  runner.ToldCapacity = told;
}

} // namespace masticwinch::fuzzing
