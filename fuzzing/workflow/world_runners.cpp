#include <fmt/format.h>

#include "fuzzing/workflow/workflow_world.hpp"
#include <algorithm>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

constexpr std::uint32_t RunnerProcessors = 8000;
constexpr std::uint64_t RunnerMemoryMb = 32'768;

} // namespace

/// Whether a runner takes orders under a fencing token; it keeps the highest.
OrderAnswer WorkflowWorld::admit(const std::string &id, std::uint64_t token) {
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

OrderAnswer WorkflowWorld::start(const Order &order) {
  const OrderAnswer admitted = admit(order.Start.Runner, order.Term);
  if (admitted != OrderAnswer::Done) {
    return admitted;
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

void WorkflowWorld::checkStart(const Runner &runner, const RunKey &run,
                               const ResourceAmounts &needs) const {
  const std::string text = textOf(run.Task);
  ResourceAmounts used = needs;
  for (const auto &[other, room] : runner.Runs) {
    used += room;
  }
  if (!amountsOf(runner.Info.capacity()).canFit(used)) {
    throw std::logic_error(
        fmt::format("{} starts on a runner without room", text));
  }
  for (const auto &[id, other] : Runners) {
    for (const auto &[held, room] : other.Runs) {
      if (held.Task == run.Task) {
        throw std::logic_error(fmt::format("{} runs in two places", text));
      }
    }
  }
}

OrderAnswer WorkflowWorld::stop(const Order &order) {
  const OrderAnswer admitted = admit(order.Stop.Runner, order.Term);
  if (admitted != OrderAnswer::Done) {
    return admitted;
  }
  Runner &runner = Runners.at(order.Stop.Runner);
  const RunKey &run = order.Stop.Run;
  std::uint32_t &closed = runner.Closed[run.Task];
  closed = std::max(closed, run.Run);
  if (runner.Runs.contains(run)) {
    end(runner, RunKey(run), protocol::RUN_STOPPED);
  }
  return OrderAnswer::Done;
}

PollAnswer WorkflowWorld::look(const Order &order) {
  PollAnswer answer;
  answer.Answer = admit(order.Look.Runner, order.Term);
  if (answer.Answer != OrderAnswer::Done) {
    return answer;
  }
  Runner &runner = Runners.at(order.Look.Runner);
  if (order.Look.LeaseUntilMs) {
    runner.LeaseUntilMs =
        std::max(runner.LeaseUntilMs, *order.Look.LeaseUntilMs);
  }
  std::erase_if(runner.Ended, [&](const EndedRun &it) {
    return it.Number <= order.Look.EndsStored;
  });
  answer.ClockMs = clockMs();
  for (const auto &[run, room] : runner.Runs) {
    answer.Running.push_back({run, "checkpoint"});
  }
  answer.Ended = runner.Ended;
  return answer;
}

void WorkflowWorld::end(Runner &runner, const RunKey &run,
                        protocol::RunEnd how) {
  runner.Runs.erase(run);
  std::uint32_t &closed = runner.Closed[run.Task];
  closed = std::max(closed, run.Run);
  runner.Ended.push_back({++runner.LastEnd, run, how, ""});
}

/// A run ends as done or failed. The members of a gang work only while all are
/// there, end together as done, and break when one of them fails.
void WorkflowWorld::endByItself(Runner &runner, const RunKey &run, bool done) {
  const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
  const protocol::RunEnd how = done ? protocol::RUN_DONE : protocol::RUN_FAILED;
  if (!spec || !spec->gang()) {
    end(runner, run, how);
    return;
  }
  std::vector<std::pair<Runner *, RunKey>> members;
  for (auto &[id, it] : Runners) {
    for (const auto &[key, room] : it.Runs) {
      if (key.Task.Step == run.Task.Step && key.Run == run.Run) {
        members.emplace_back(&it, key);
      }
    }
  }
  if (members.size() < spec->count()) {
    return;
  }
  end(runner, run, how);
  for (const auto &[it, key] : members) {
    if (key != run) {
      end(*it, key, done ? how : protocol::RUN_BROKEN);
    }
  }
}

void WorkflowWorld::startRunner() {
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

void WorkflowWorld::heartbeat(Runner &runner) {
  Leader->heartbeat(
      runner.Info, ++runner.Sequence, clockMs(), [] {}, at());
}

/// Lets time pass; runners whose lease is over end what they run.
void WorkflowWorld::advance(Milliseconds time) {
  Now += time;
  for (auto &[id, runner] : Runners) {
    while (clockMs() > runner.LeaseUntilMs && !runner.Runs.empty()) {
      end(runner, RunKey(runner.Runs.begin()->first), protocol::RUN_LAPSED);
    }
  }
  Leader->tick(at());
}

} // namespace masticwinch::fuzzing
