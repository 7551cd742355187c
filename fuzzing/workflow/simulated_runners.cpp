#include <fmt/format.h>

#include "fuzzing/workflow/workflow_simulator.hpp"
#include <algorithm>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

constexpr std::uint32_t RunnerProcessors = 8000;
constexpr std::uint64_t RunnerMemoryMb = 32'768;

} // namespace

/// Checks the fencing token of an order; the runner remembers the highest one.
OrderAnswer WorkflowSimulator::checkToken(const std::string &id,
                                          std::uint64_t token) {
  const auto found = Runners.find(id);
  if (found == Runners.end()) {
    return OrderAnswer::OtherLife;
  }
  if (token < found->second.Token) {
    return OrderAnswer::Fenced;
  }
  found->second.Token = token;
  return OrderAnswer::Done;
}

OrderAnswer WorkflowSimulator::start(const Order &order) {
  const OrderAnswer checked = checkToken(order.Start.Runner, order.Term);
  if (checked != OrderAnswer::Done) {
    return checked;
  }
  Runner &runner = Runners.at(order.Start.Runner);
  const RunKey &run = order.Start.Run;
  if (runner.Runs.contains(run)) {
    return OrderAnswer::Done;
  }
  if (runner.Closed[run.Task] >= run.Run) {
    return OrderAnswer::Outdated;
  }
  if (clockMs() > order.Start.LeaseUntilMs) {
    return OrderAnswer::Late;
  }
  const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
  const ResourceAmounts needs = spec ? needsOf(*spec) : ResourceAmounts();
  checkStart(runner, run, needs);
  runner.LeaseUntilMs = std::max(runner.LeaseUntilMs, order.Start.LeaseUntilMs);
  runner.Runs[run] = needs;
  return OrderAnswer::Done;
}

void WorkflowSimulator::checkStart(const Runner &runner, const RunKey &run,
                                   const ResourceAmounts &needs) const {
  const std::string text = textOf(run.Task);
  ResourceAmounts used = needs;
  for (const auto &[other, occupied] : runner.Runs) {
    used += occupied;
  }
  if (!amountsOf(runner.Info.capacity()).canFit(used)) {
    throw std::logic_error(fmt::format(
        "{} starts on a runner without enough free resources", text));
  }
  for (const auto &[id, other] : Runners) {
    for (const auto &[held, occupied] : other.Runs) {
      if (held.Task == run.Task) {
        throw std::logic_error(fmt::format("{} runs on two runners", text));
      }
    }
  }
}

OrderAnswer WorkflowSimulator::stop(const Order &order) {
  const OrderAnswer checked = checkToken(order.Stop.Runner, order.Term);
  if (checked != OrderAnswer::Done) {
    return checked;
  }
  Runner &runner = Runners.at(order.Stop.Runner);
  const RunKey &run = order.Stop.Run;
  std::uint32_t &closed = runner.Closed[run.Task];
  closed = std::max(closed, run.Run);
  if (runner.Runs.contains(run)) {
    recordEnd(runner, RunKey(run), protocol::RUN_STOPPED);
  }
  return OrderAnswer::Done;
}

PollAnswer WorkflowSimulator::poll(const Order &order) {
  PollAnswer answer;
  answer.Answer = checkToken(order.Poll.Runner, order.Term);
  if (answer.Answer != OrderAnswer::Done) {
    return answer;
  }
  Runner &runner = Runners.at(order.Poll.Runner);
  if (order.Poll.LeaseUntilMs) {
    runner.LeaseUntilMs =
        std::max(runner.LeaseUntilMs, *order.Poll.LeaseUntilMs);
  }
  std::erase_if(runner.Ended, [&](const EndedRun &it) {
    return it.Number <= order.Poll.EndsStored;
  });
  answer.ClockMs = clockMs();
  for (const auto &[run, occupied] : runner.Runs) {
    answer.Running.push_back({run, "checkpoint"});
  }
  answer.Ended = runner.Ended;
  return answer;
}

void WorkflowSimulator::recordEnd(Runner &runner, const RunKey &run,
                                  protocol::RunEnd how) {
  runner.Runs.erase(run);
  std::uint32_t &closed = runner.Closed[run.Task];
  closed = std::max(closed, run.Run);
  runner.Ended.push_back({++runner.LastEndNumber, run, how, ""});
}

/// A run ends as done or failed. The members of a gang run only while all have
/// started, end together as done, and end as broken when one of them fails.
void WorkflowSimulator::finishRun(Runner &runner, const RunKey &run,
                                  bool done) {
  const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
  const protocol::RunEnd how = done ? protocol::RUN_DONE : protocol::RUN_FAILED;
  if (!spec || !spec->gang()) {
    recordEnd(runner, run, how);
    return;
  }
  std::vector<std::pair<Runner *, RunKey>> members;
  for (auto &[id, it] : Runners) {
    for (const auto &[key, occupied] : it.Runs) {
      if (key.Task.Step == run.Task.Step && key.Run == run.Run) {
        members.emplace_back(&it, key);
      }
    }
  }
  if (members.size() < spec->count()) {
    return;
  }
  recordEnd(runner, run, how);
  for (const auto &[it, key] : members) {
    if (key != run) {
      recordEnd(*it, key, done ? how : protocol::RUN_BROKEN);
    }
  }
}

void WorkflowSimulator::addRunner() {
  Runner runner;
  runner.Info.set_id(fmt::format("i-{:04}", NextRunner++));
  runner.Info.set_pool("pool");
  runner.Info.set_address(fmt::format("{}:80", runner.Info.id()));
  runner.Info.mutable_capacity()->set_milli_processors(RunnerProcessors);
  runner.Info.mutable_capacity()->set_memory_mb(RunnerMemoryMb);
  runner.Info.add_labels(std::string("a"));
  runner.Info.add_labels(fmt::format("rack-{}", NextRunner % 2));
  heartbeat(Runners.emplace(runner.Info.id(), runner).first->second);
}

void WorkflowSimulator::heartbeat(Runner &runner) {
  Leader->heartbeat(
      runner.Info, ++runner.Sequence, clockMs(), [] {}, at());
}

/// Advances the time; runners whose lease has expired end their runs.
void WorkflowSimulator::advanceTime(Milliseconds time) {
  Now += time;
  for (auto &[id, runner] : Runners) {
    while (clockMs() > runner.LeaseUntilMs && !runner.Runs.empty()) {
      recordEnd(runner, RunKey(runner.Runs.begin()->first),
                protocol::RUN_LAPSED);
    }
  }
  Leader->tick(at());
}

} // namespace masticwinch::fuzzing
