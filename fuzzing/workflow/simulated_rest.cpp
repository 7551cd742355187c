#include <fmt/format.h>

#include "fuzzing/workflow/workflow_simulator.hpp"
#include <algorithm>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

/// Longer than any run can be kept back: the longest lease, the time after
/// which a silent runner is forgotten, and several leases of the next leader.
constexpr Milliseconds MaxRestTime{60'000};

/// Time passes in small steps first, since most sessions are at rest soon.
constexpr Milliseconds ShortStep{20};
constexpr Milliseconds LongStep{100};
constexpr Milliseconds ShortStepTime{2000};

constexpr std::int64_t HeartbeatIntervalMs = 500;
constexpr std::int64_t RunTimeMs = 40;

/// Rounds in which the answers to what is delivered are delivered in turn.
constexpr int MaxRounds = 8;

constexpr int Agents = 3;

} // namespace

void WorkflowSimulator::settle() {
  const SteadyTime begin = Now;
  std::int64_t nextHeartbeat = clockMs();
  std::string left;
  while (Now - begin < MaxRestTime) {
    if (clockMs() >= nextHeartbeat) {
      nextHeartbeat = clockMs() + HeartbeatIntervalMs;
      for (int i = 0; i < Agents; ++i) {
        Leader->agentSeen(fmt::format("agent-{}", i), at());
      }
      for (auto &[id, runner] : Runners) {
        heartbeat(runner);
      }
    }
    deliverEverything();
    finishRuns();
    left = workLeft();
    if (left.empty()) {
      return;
    }
    advanceTime(Now - begin < ShortStepTime ? ShortStep : LongStep);
    collect();
  }
  throw std::logic_error(fmt::format("at rest, {}", left));
}

/// Delivers and stores all that is on its way, and the answers.
void WorkflowSimulator::deliverEverything() {
  collect();
  for (int i = 0; i < MaxRounds; ++i) {
    while (!HeldMessages.empty()) {
      const Message message = std::move(HeldMessages.front());
      HeldMessages.pop_front();
      deliverMessage(message);
      collect();
    }
    while (!Answers.empty()) {
      const Answer delivered = std::move(Answers.front());
      Answers.pop_front();
      answer(delivered);
      collect();
    }
    for (std::size_t n = Orders.size(); n > 0; --n) {
      answer(carryOut(takeOrder(0)));
      collect();
    }
    for (std::size_t n = Advice.size(); n > 0; --n) {
      answerAdvice(0, true);
      collect();
    }
    for (std::size_t n = Batches.size(); n > 0; --n) {
      storeBatch();
      collect();
    }
  }
}

/// Ends runs as done that have run for a while, except those that last.
void WorkflowSimulator::finishRuns() {
  for (auto &[id, runner] : Runners) {
    std::vector<RunKey> due;
    for (const auto &[run, it] : runner.Runs) {
      const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
      if (clockMs() - it.StartedAtMs >= RunTimeMs &&
          !(spec && spec->long_running())) {
        due.push_back(run);
      }
    }
    for (const RunKey &it : due) {
      if (runner.Runs.contains(it)) {
        finishRun(runner, it, true);
      }
    }
  }
}

/// Describes work that could still be done, or a run that should have been
/// stopped; empty if there is none.
std::string WorkflowSimulator::workLeft() const {
  for (const auto &[id, workflow] : State.workflows()) {
    if (isFinal(workflow.CurrentPhase)) {
      continue;
    }
    if (workflow.OccurrencesBegun < workflow.occurrenceCount()) {
      return fmt::format("{} has occurrences to begin", id);
    }
    for (const Occurrence &occurrence : workflow.Occurrences) {
      for (std::uint32_t i = 0; i < occurrence.Steps.size(); ++i) {
        std::string left =
            workLeft({id, occurrence.Number, i}, workflow.Spec.steps(int(i)));
        if (!left.empty()) {
          return left;
        }
      }
    }
  }
  return strayRun();
}

std::string WorkflowSimulator::workLeft(const StepKey &key,
                                        const protocol::StepSpec &spec) const {
  if (!State.isReady(key)) {
    return {};
  }
  const Step &step = *State.findStep(key);
  std::size_t idle = 0;
  for (std::uint32_t i = 0; i < step.Tasks.size(); ++i) {
    const Task &it = step.Tasks[i];
    const RunKey run{{key, i}, it.Run};
    if (it.Done) {
      continue;
    }
    if (it.Runner.empty()) {
      ++idle;
    } else if (!runs(it.Runner, run)) {
      return fmt::format("{} is assigned to {}, which doesn't run it",
                         textOf(run.Task), it.Runner);
    } else if (!spec.long_running()) {
      return fmt::format("{} still runs", textOf(run.Task));
    }
  }
  if (idle > 0 && fits(key, spec, idle) && fitsBelowCap(key, spec, idle)) {
    return fmt::format("{} of {} tasks of {} could run and don't", idle,
                       step.Tasks.size(), textOf(key));
  }
  return {};
}

bool WorkflowSimulator::runs(const std::string &runner,
                             const RunKey &run) const {
  const auto found = Runners.find(runner);
  return found != Runners.end() && found->second.Runs.contains(run);
}

/// Whether all tasks of a gang, or at least one of another step, fit beside the
/// tasks that last. One that lasts itself needs a runner with twice its room.
bool WorkflowSimulator::fits(const StepKey &key, const protocol::StepSpec &spec,
                             std::size_t tasks) const {
  const ResourceAmounts needs = needsOf(spec);
  ResourceAmounts room = needs;
  if (!spec.gang()) {
    room += needs;
  }
  std::size_t places = 0;
  for (const auto &[id, runner] : Runners) {
    const auto approval = Approvals.find({key, id});
    if (runner.Info.draining() ||
        (approval != Approvals.end() && !approval->second)) {
      continue;
    }
    ResourceAmounts free = amountsOf(runner.Info.capacity());
    std::uint32_t ofStep = 0;
    for (const auto &[run, it] : runner.Runs) {
      const protocol::StepSpec *held = State.findSpec(run.Task.Step);
      if (held && held->long_running()) {
        free -= it.Needs;
        ofStep += run.Task.Step == key ? 1 : 0;
      }
    }
    if (spec.max_per_runner() > 0 && ofStep >= spec.max_per_runner()) {
      continue;
    }
    for (; free.canFit(room); free -= needs) {
      ++places;
    }
  }
  return places >= (spec.gang() ? tasks : 1);
}

/// A run that the state doesn't assign to its runner, or of a workflow that has
/// ended.
std::string WorkflowSimulator::strayRun() const {
  for (const auto &[id, runner] : Runners) {
    for (const auto &[run, it] : runner.Runs) {
      const Workflow *workflow = State.find(run.Task.Step.Workflow);
      const Task *task = State.findTask(run.Task);
      if (!workflow || isFinal(workflow->CurrentPhase) || !task ||
          task->Run != run.Run || task->Runner != id) {
        return fmt::format("{} still runs on {}", textOf(run.Task), id);
      }
    }
  }
  return {};
}

} // namespace masticwinch::fuzzing
