#include <fmt/format.h>

#include "fuzzing/workflow/workflow_simulator.hpp"
#include <algorithm>
#include <stdexcept>

namespace masticwinch::fuzzing {

using namespace workflow;

namespace {

constexpr std::uint32_t RunnerProcessors = 8000;
constexpr std::uint64_t RunnerMemoryMb = 32'768;

/// A runner shortens longer leases.
constexpr std::int64_t MaxLeaseMs = 10'000;

/// Time for which a member of a gang waits for the others.
constexpr std::int64_t GangTimeoutMs = 3000;

/// Clock of the first runners, which have been up for long, and its difference
/// from one to the next.
constexpr std::int64_t FirstClockMs = 1'000'000;
constexpr std::int64_t ClockStepMs = 700'000;

/// Time after which a start that was sent to a former life of a runner no
/// longer reaches the next one. The start's deadline doesn't bound it: it is a
/// time on the former life's clock.
constexpr std::int64_t MaxLatenessMs = 3000;

/// Time from the end of a runner's life to its start under the same id.
constexpr std::int64_t RestartTimeMs = 1000;

/// Time from a deregistration that is not acknowledged to the runner's end.
constexpr std::int64_t LeaveAnywayMs = 3000;

/// Clock of a runner that has just started.
constexpr std::int64_t NewClockMs = 500;

} // namespace

std::int64_t WorkflowSimulator::clockMs(const Runner &runner) const {
  return clockMs() + runner.ClockOffsetMs;
}

/// Checks the fencing token of an order; the runner remembers the highest one.
OrderAnswer WorkflowSimulator::checkToken(const std::string &id,
                                          std::uint64_t token) {
  const auto found = Runners.find(id);
  if (found == Runners.end()) {
    return Silent.contains(id) ? OrderAnswer::Silent : OrderAnswer::OtherLife;
  }
  if (token < found->second.Token) {
    return OrderAnswer::Fenced;
  }
  found->second.Token = token;
  return OrderAnswer::Done;
}

OrderAnswer WorkflowSimulator::start(const Order &order) {
  const OrderAnswer checked = checkToken(
      order.Start.Runner, fencingTokenOf(order.Term, order.Start.LifeNumber));
  if (checked != OrderAnswer::Done) {
    return checked;
  }
  Runner &runner = Runners.at(order.Start.Runner);
  const RunKey &run = order.Start.Run;
  if (runner.Runs.contains(run)) {
    return OrderAnswer::Done;
  }
  if (runner.Closed[run.Task] >= run.Run) {
    extendLease(runner, order.Start.LeaseUntilMs);
    return OrderAnswer::Outdated;
  }
  const bool tooLate = order.SentAtMs < runner.BeganAtMs &&
                       clockMs() - order.SentAtMs > MaxLatenessMs;
  if (tooLate || clockMs(runner) > order.Start.LeaseUntilMs) {
    return OrderAnswer::Late;
  }
  if (!acceptsTicket(runner, order.Start)) {
    return OrderAnswer::TicketInvalid;
  }
  const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
  const ResourceAmounts needs = spec ? needsOf(*spec) : ResourceAmounts();
  checkStart(runner, run, needs, order.Number);
  countDeadlyStart(run.Task);
  extendLease(runner, order.Start.LeaseUntilMs);
  const std::string account = accountOfRun(run);
  runner.Runs[run] = {needs, account, clockMs()};
  checkCap(account);
  ++Starts[run.Task];
  return OrderAnswer::Done;
}

/// A start on a queue with advice needs a ticket for the step and this life of
/// the runner.
bool WorkflowSimulator::acceptsTicket(const Runner &runner,
                                      const StartOrder &order) const {
  const Workflow *workflow = State.find(order.Run.Task.Step.Workflow);
  if (!workflow || workflow->Spec.queue() != "host/advised/") {
    return true;
  }
  const auto it = Tickets.find(order.Ticket);
  return it != Tickets.end() && it->second.Step == order.Run.Task.Step &&
         it->second.Runner == runner.Info.id() &&
         it->second.BornUnixMs == runner.Info.born_unix_ms() &&
         clockMs() <= it->second.UntilMs;
}

void WorkflowSimulator::checkStart(const Runner &runner, const RunKey &run,
                                   const ResourceAmounts &needs,
                                   std::uint64_t orderNumber) const {
  const std::string text = textOf(run.Task);
  ResourceAmounts used = needs;
  for (const auto &[other, it] : runner.Runs) {
    used += it.Needs;
  }
  // An order that was sent before counts on the former capacity.
  const bool told = runner.ToldCapacity && orderNumber > runner.ToldAfterOrder;
  const ResourceAmounts capacity =
      told ? *runner.ToldCapacity
           : ResourceAmounts{RunnerProcessors, std::int64_t(RunnerMemoryMb), 0};
  if (!capacity.canFit(used)) {
    throw std::logic_error(fmt::format(
        "{} starts on a runner without enough free resources", text));
  }
  for (const auto &[id, other] : Runners) {
    for (const auto &[held, it] : other.Runs) {
      if (held.Task == run.Task) {
        throw std::logic_error(fmt::format("{} runs on two runners", text));
      }
    }
  }
  if (Done.contains(run.Task)) {
    throw std::logic_error(fmt::format(
        "{} starts after it was done and its end acknowledged", text));
  }
}

OrderAnswer WorkflowSimulator::stop(const Order &order) {
  const OrderAnswer checked = checkToken(
      order.Stop.Runner, fencingTokenOf(order.Term, order.Stop.LifeNumber));
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
  // No sender can know that a call which acknowledges ends, and is carried out
  // late, finds another life.
  const auto found = Runners.find(order.Poll.Runner);
  if (found != Runners.end() && order.Poll.EndsStored > 0 &&
      order.SentAtMs < found->second.BeganAtMs) {
    answer.Answer = OrderAnswer::Silent;
    return answer;
  }
  answer.Answer = checkToken(order.Poll.Runner,
                             fencingTokenOf(order.Term, order.Poll.LifeNumber));
  if (answer.Answer != OrderAnswer::Done) {
    return answer;
  }
  Runner &runner = Runners.at(order.Poll.Runner);
  if (order.Poll.LeaseUntilMs) {
    extendLease(runner, *order.Poll.LeaseUntilMs);
  }
  std::erase_if(runner.Ended, [&](const End &it) {
    const bool stored = it.Listed.Number <= order.Poll.EndsStored;
    if (stored) {
      acknowledge(order.Poll.Runner, it);
    }
    return stored;
  });
  answer.ClockMs = clockMs(runner);
  answer.BornUnixMs = runner.Info.born_unix_ms();
  for (const auto &[run, it] : runner.Runs) {
    answer.Running.push_back({run, "checkpoint"});
  }
  for (const End &it : runner.Ended) {
    answer.Ended.push_back(it.Listed);
  }
  return answer;
}

/// An end that is acknowledged must have been read, and its task doesn't start
/// again if it ended as done. The end of a run whose lease has expired since
/// doesn't count.
void WorkflowSimulator::acknowledge(const std::string &id, const End &end) {
  const TaskKey &task = end.Listed.Run.Task;
  if (!end.Heard) {
    throw std::logic_error(
        fmt::format("the end of {} on {} is acknowledged without having been "
                    "read",
                    textOf(task), id));
  }
  const protocol::StepSpec *spec = State.findSpec(task.Step);
  const bool counts = end.Listed.How == protocol::RUN_DONE && !end.Lapsed &&
                      spec && !spec->long_running();
  if (!counts) {
    return;
  }
  if (Starts[task] > end.Starts) {
    throw std::logic_error(fmt::format(
        "{} had started again when its end as done was acknowledged",
        textOf(task)));
  }
  Done.insert(task);
}

/// Notes which ends an answer tells the leader.
void WorkflowSimulator::hear(const std::string &id, const PollAnswer &answer) {
  const auto found = Runners.find(id);
  if (found == Runners.end() ||
      found->second.Info.born_unix_ms() != answer.BornUnixMs) {
    return;
  }
  for (End &it : found->second.Ended) {
    for (const EndedRun &listed : answer.Ended) {
      it.Heard = it.Heard || it.Listed.Number == listed.Number;
    }
  }
}

void WorkflowSimulator::extendLease(Runner &runner,
                                    std::int64_t untilMs) const {
  runner.LeaseUntilMs = std::max(
      runner.LeaseUntilMs, std::min(untilMs, clockMs(runner) + MaxLeaseMs));
}

void WorkflowSimulator::recordEnd(Runner &runner, const RunKey &run,
                                  protocol::RunEnd how) {
  runner.Runs.erase(run);
  std::uint32_t &closed = runner.Closed[run.Task];
  closed = std::max(closed, run.Run);
  End end;
  end.Listed = {++runner.LastEndNumber, run, how, ""};
  end.Starts = Starts[run.Task];
  runner.Ended.push_back(std::move(end));
}

/// The members of a gang that run with the same run number.
std::vector<std::pair<WorkflowSimulator::Runner *, RunKey>>
WorkflowSimulator::membersOf(const RunKey &run) {
  std::vector<std::pair<Runner *, RunKey>> members;
  for (auto &[id, it] : Runners) {
    for (const auto &[key, held] : it.Runs) {
      if (key.Task.Step == run.Task.Step && key.Run == run.Run) {
        members.emplace_back(&it, key);
      }
    }
  }
  return members;
}

/// A run ends as done or failed. The members of a gang run only while all have
/// started, end together as done, and end as broken when one of them fails.
void WorkflowSimulator::finishRun(Runner &runner, const RunKey &run,
                                  bool done) {
  const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
  const protocol::RunEnd how = done ? protocol::RUN_DONE : protocol::RUN_FAILED;
  if (!spec || !spec->gang()) {
    recordEnd(runner, run, how);
    FailedRuns[run.Task.Step] += done ? 0 : 1;
    return;
  }
  const auto members = membersOf(run);
  if (members.size() < spec->count()) {
    return;
  }
  recordEnd(runner, run, how);
  FailedRuns[run.Task.Step] += done ? 0 : 1;
  for (const auto &[it, key] : members) {
    if (key != run) {
      recordEnd(*it, key, done ? how : protocol::RUN_BROKEN);
    }
  }
}

void WorkflowSimulator::addRunner() {
  const std::uint64_t number = NextRunner++;
  beginLife(fmt::format("i-{:04}", number),
            FirstClockMs + std::int64_t(number) * ClockStepMs);
  heartbeat(Runners.at(fmt::format("i-{:04}", number)));
}

/// A life of a runner begins: nothing of a former life under its id is left.
void WorkflowSimulator::beginLife(const std::string &id, std::int64_t clockMs) {
  Runner runner;
  runner.BeganAtMs = this->clockMs();
  runner.ClockOffsetMs = clockMs - this->clockMs();
  std::uint64_t &born = LatestBirth[id];
  born = std::max(born + 1, at().UnixMs);
  runner.Info.set_id(id);
  runner.Info.set_pool("pool");
  runner.Info.set_address(fmt::format("{}:80", id));
  runner.Info.mutable_capacity()->set_milli_processors(RunnerProcessors);
  runner.Info.mutable_capacity()->set_memory_mb(RunnerMemoryMb);
  runner.Info.add_labels(std::string("a"));
  runner.Info.add_labels(id.back() % 2 == 0 ? "rack-0" : "rack-1");
  runner.Info.set_born_unix_ms(born);
  Silent.erase(id);
  Runners[id] = std::move(runner);
}

/// A runner that is up, or was earlier, starts again under its id after a
/// while. It sends a heartbeat at once then, or some time later.
void WorkflowSimulator::restart(std::uint8_t choice, std::uint8_t clock) {
  const auto chosen = std::next(LatestBirth.begin(),
                                choice % std::ptrdiff_t(LatestBirth.size()));
  const std::string id = chosen->first;
  if (const auto up = Runners.find(id); up != Runners.end()) {
    countCrash(up->second);
  }
  Runners.erase(id);
  Silent.insert(id);
  Restarts.try_emplace(id, Restart{clockMs() + RestartTimeMs,
                                   NewClockMs + clock, clock % 2 == 0});
}

void WorkflowSimulator::beginDueLives() {
  for (auto it = Restarts.begin(); it != Restarts.end();) {
    const auto [id, due] = *it;
    if (due.BeginsAtMs > clockMs()) {
      ++it;
      continue;
    }
    it = Restarts.erase(it);
    beginLife(id, due.ClockMs);
    if (due.SendsHeartbeat) {
      heartbeat(Runners.at(id));
    }
  }
}

/// A runner shuts down, and says so.
void WorkflowSimulator::leave(Runner &runner, bool held) {
  countCrash(runner);
  const Message message{runner.Info, 0, 0, true};
  Runners.erase(message.Info.id());
  if (held) {
    HeldMessages.push_back(message);
  } else {
    deliverMessage(message);
  }
}

/// A runner deregisters, and runs on for a while without an acknowledgement.
void WorkflowSimulator::leaveUnacknowledged(Runner &runner) {
  runner.Info.set_draining(true);
  if (!runner.EndsAtMs) {
    runner.EndsAtMs = clockMs() + LeaveAnywayMs;
  }
  deliverMessage({runner.Info, 0, 0, true});
}

/// Ends the runners that have waited long enough for an acknowledgement. At
/// half of them nothing answers from then on.
void WorkflowSimulator::endLeaving() {
  for (auto it = Runners.begin(); it != Runners.end();) {
    if (!it->second.EndsAtMs || *it->second.EndsAtMs > clockMs()) {
      ++it;
      continue;
    }
    countCrash(it->second);
    if (it->first.back() % 2 == 0) {
      Silent.insert(it->first);
    }
    it = Runners.erase(it);
  }
}

void WorkflowSimulator::heartbeat(Runner &runner, bool held) {
  const Message message{runner.Info, ++runner.Sequence, clockMs(runner), false};
  if (held) {
    HeldMessages.push_back(message);
  } else {
    deliverMessage(message);
  }
}

void WorkflowSimulator::deliverMessage(const Message &message) {
  if (message.Leaving) {
    Leader->deregister(
        {message.Info.id(), message.Info.born_unix_ms()}, [] {}, at());
  } else {
    noteTold(message);
    Leader->heartbeat(
        message.Info, message.Sequence, message.ClockMs, [] {}, at());
  }
}

/// Advances the time; runners whose lease has expired end their runs.
void WorkflowSimulator::advanceTime(Milliseconds time) {
  Now += time;
  beginDueLives();
  crashDeadly();
  endLeaving();
  for (auto &[id, runner] : Runners) {
    if (clockMs(runner) > runner.LeaseUntilMs) {
      endLapsed(runner);
    }
    endLoneMembers(runner);
  }
  Leader->tick(at());
}

void WorkflowSimulator::endLapsed(Runner &runner) {
  while (!runner.Runs.empty()) {
    recordEnd(runner, RunKey(runner.Runs.begin()->first), protocol::RUN_LAPSED);
  }
  for (End &it : runner.Ended) {
    it.Lapsed = true;
  }
}

/// Ends the members of gangs that have waited too long for the others.
void WorkflowSimulator::endLoneMembers(Runner &runner) {
  std::vector<RunKey> alone;
  for (const auto &[run, it] : runner.Runs) {
    const protocol::StepSpec *spec = State.findSpec(run.Task.Step);
    if (spec && spec->gang() && clockMs() - it.StartedAtMs > GangTimeoutMs &&
        membersOf(run).size() < spec->count()) {
      alone.push_back(run);
    }
  }
  for (const RunKey &it : alone) {
    recordEnd(runner, it, protocol::RUN_ALONE);
  }
}

} // namespace masticwinch::fuzzing
