#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <algorithm>
#include <set>

namespace masticwinch::workflow {

namespace {

/// Maximum number of ends in one answer of a runner; an answer with this many
/// may be incomplete.
constexpr std::size_t MaxEndsPerAnswer = 500;

} // namespace

/// Another leader has taken over if an order is refused that carries the
/// highest token of this one.
template <class Order>
void RunnerRegistry::checkFence(const RunnerEntry &runner, const Order &order,
                                OrderAnswer answer) {
  if (answer == OrderAnswer::Fenced && order.LifeNumber == runner.LifeNumber) {
    Effects.Deposed = true;
  }
}

void RunnerRegistry::startAnswered(const StartOrder &order, OrderAnswer answer,
                                   SteadyTime now) {
  const RunKey &run = order.Run;
  RunnerEntry *runner = findLife({order.Runner, order.BornUnixMs});
  if (!runner) {
    return;
  }
  if (answer == OrderAnswer::OtherLife) {
    remove(order.Runner);
    return;
  }
  checkFence(*runner, order, answer);
  if (answer == OrderAnswer::Unwell || answer == OrderAnswer::Silent) {
    runner->UnwellUntil =
        std::max(runner->UnwellUntil, now + Options.UnwellBackoff);
  } else if (answer == OrderAnswer::Disconnected ||
             answer == OrderAnswer::Unreachable) {
    connectionClosed(*runner, now);
  } else if (answer != OrderAnswer::RelaySilent &&
             answer != OrderAnswer::NotSent) {
    runner->LastAnswer = now;
    runner->ClosesConnections = false;
    runner->Backoff = Milliseconds(0);
  }
  TrackedRun *it = trackedRun(order.Runner, run);
  if (!it || it->Stage != RunStage::Starting) {
    return;
  }
  it->CallPending = false;
  const bool neverRan =
      answer == OrderAnswer::NoRoom || answer == OrderAnswer::TicketInvalid ||
      answer == OrderAnswer::Unwell || answer == OrderAnswer::Late ||
      answer == OrderAnswer::Unreachable;
  const bool mayRetry = it->StartAttempts < Options.MaxStartAttempts &&
                        !runner->isOvercommitted() && !runner->Leaving;
  if (answer == OrderAnswer::Done) {
    Effects.Confirmed.push_back(run);
    it->Stage = RunStage::Running;
    it->ConfirmedAt = now;
    it->Started = true;
    it->StartedAt = now;
  } else if (!it->Unanswered &&
             (neverRan || (answer == OrderAnswer::NotSent && !mayRetry))) {
    release(*runner, run, protocol::RUN_LOST, 0, it->Checkpoint);
  } else if ((isUnanswered(answer) || wasNotSent(answer)) && mayRetry) {
    it->Unanswered = it->Unanswered || isUnanswered(answer);
    if (answer == OrderAnswer::Disconnected && it->StartAttempts > 1) {
      it->NextStartAttempt = now + Options.RetryDelay;
    } else {
      sendStart(*runner, run, *it, now);
    }
  } else {
    beginStop(*it, now);
  }
}

/// Handles that the runner closed or refused the connection of an order. While
/// it does so again and again, it gets work less and less often. The first
/// failure may only mean that the connection had been idle for too long.
void RunnerRegistry::connectionClosed(RunnerEntry &runner, SteadyTime now) {
  runner.ClosesConnections = true;
  runner.ClosedConnectionAt = now;
  if (now >= runner.UnwellUntil) {
    runner.Backoff = std::clamp(2 * runner.Backoff, Options.UnwellBackoff,
                                Options.MaxUnwellBackoff);
  }
  runner.UnwellUntil =
      std::max(runner.UnwellUntil,
               now + std::max(runner.Backoff, Options.UnwellBackoff));
}

void RunnerRegistry::stopAnswered(const StopOrder &order, OrderAnswer answer,
                                  SteadyTime now) {
  RunnerEntry *runner = findLife({order.Runner, order.BornUnixMs});
  if (!runner) {
    return;
  }
  if (answer == OrderAnswer::OtherLife) {
    remove(order.Runner);
    return;
  }
  checkFence(*runner, order, answer);
  if (answer == OrderAnswer::Disconnected ||
      answer == OrderAnswer::Unreachable) {
    connectionClosed(*runner, now);
  }
  TrackedRun *it = trackedRun(order.Runner, order.Run);
  if (!it || it->Stage != RunStage::Stopping) {
    return;
  }
  it->CallPending = false;
  if (answer == OrderAnswer::Done || answer == OrderAnswer::Outdated) {
    it->ConfirmedAt = now;
  }
}

void RunnerRegistry::pollAnswered(const PollOrder &order,
                                  const PollAnswer &answer, SteadyTime now) {
  RunnerEntry *runner = findLife({order.Runner, order.BornUnixMs});
  if (!runner) {
    reportFormerEnds({order.Runner, order.BornUnixMs}, answer, now);
    return;
  }
  if (order.Sequence != runner->PollSequence) {
    // A late answer of the same life: what it lists as ended has ended.
    if (answer.Answer == OrderAnswer::Done &&
        answer.BornUnixMs == order.BornUnixMs) {
      processEnded(*runner, answer);
    }
    return;
  }
  if (answer.Answer == OrderAnswer::OtherLife) {
    remove(order.Runner);
    return;
  }
  if (answer.Answer != OrderAnswer::Done) {
    checkFence(*runner, order, answer.Answer);
    pollFailed(*runner, answer.Answer, now);
    return;
  }
  if (answer.BornUnixMs > order.BornUnixMs) {
    protocol::RunnerInfo info = runner->Info;
    info.set_born_unix_ms(answer.BornUnixMs);
    beginLife(*runner, info, now);
    runner->Unannounced = true;
    Effects.Reborn.push_back(order.Runner);
    return;
  }
  if (answer.BornUnixMs < order.BornUnixMs) {
    // Lists of a former life, or of another writer if none is stated.
    pollFailed(*runner, OrderAnswer::Malformed, now);
    return;
  }
  reportAnswering(*runner);
  runner->PollPending = false;
  runner->FailedPolls = 0;
  runner->LastAnswer = now;
  runner->LastPollAnswer = now - runner->Clock.delayOf(answer.ClockMs, now);
  runner->Clock.observe(answer.ClockMs, now);
  processEnded(*runner, answer);
  processRunning(*runner, answer, now);
  releaseMissing(*runner, answer, now);
  runner->Adopted = true;
  if (leavesConnection(*runner, now)) {
    runner->NextPoll = now + Options.ShortPollDelay;
  } else {
    runner->NextPoll = answer.Ended.empty() ? now : now + Options.PollDelay;
  }
}

void RunnerRegistry::pollFailed(RunnerEntry &runner, OrderAnswer answer,
                                SteadyTime now) {
  runner.PollPending = false;
  runner.FailedPolls += 1;
  if (isUnanswered(answer) || answer == OrderAnswer::Unreachable) {
    const bool disconnected = answer == OrderAnswer::Disconnected ||
                              answer == OrderAnswer::Unreachable;
    reportLost(runner, disconnected ? now : runner.LastAnswer, disconnected);
  }
  runner.NextPoll = now + Options.RetryDelay;
}

/// Reports what a life of a runner lists that is not tracked any more: it was
/// removed, or a later one has begun. A run that had ended as done must not be
/// started again only because this answer was overtaken.
void RunnerRegistry::reportFormerEnds(const RunnerLife &life,
                                      const PollAnswer &answer,
                                      SteadyTime now) {
  if (answer.Answer != OrderAnswer::Done ||
      answer.BornUnixMs != life.BornUnixMs) {
    return;
  }
  for (const EndedRun &it : answer.Ended) {
    if (it.How == protocol::RUN_DONE) {
      // The next life may have carried out the same start late.
      stop(life.Id, it.Run, now);
    }
    reportUntracked(life, it);
  }
}

void RunnerRegistry::reportUntracked(const RunnerLife &life,
                                     const EndedRun &ended) {
  ObservedEnd end;
  end.Runner = life.Id;
  end.BornUnixMs = life.BornUnixMs;
  end.Number = ended.Number;
  end.Untracked = ended;
  Effects.Ends.push_back(std::move(end));
}

void RunnerRegistry::processEnded(RunnerEntry &runner,
                                  const PollAnswer &answer) {
  for (const EndedRun &it : answer.Ended) {
    if (it.Number <= runner.LastEndSeen) {
      continue;
    }
    runner.LastEndSeen = it.Number;
    if (runner.Runs.contains(it.Run)) {
      release(runner, it.Run, it.How, it.Number, it.Checkpoint);
      continue;
    }
    reportUntracked(runner.life(), it);
  }
}

/// Stops runs that are not tracked; an earlier leader left them behind.
void RunnerRegistry::processRunning(RunnerEntry &runner,
                                    const PollAnswer &answer, SteadyTime now) {
  for (const RunningRun &it : answer.Running) {
    const auto found = runner.Runs.find(it.Run);
    if (found == runner.Runs.end()) {
      RunTerms terms = TermsOf(it.Run.Task.Step);
      TrackedRun untracked;
      untracked.Needs = terms.Needs;
      untracked.Account = std::move(terms.Account);
      beginStop(occupy(runner, it.Run, std::move(untracked)), now);
      continue;
    }
    TrackedRun &tracked = found->second;
    tracked.Checkpoint = it.Checkpoint;
    if (tracked.Stage == RunStage::Inherited ||
        tracked.Stage == RunStage::Starting) {
      Effects.Confirmed.push_back(it.Run);
      tracked.StartedAt = tracked.Stage == RunStage::Starting
                              ? std::optional(now)
                              : std::nullopt;
      tracked.Started = true;
      tracked.Stage = RunStage::Running;
      tracked.ConfirmedAt = now;
      tracked.OccupiedSince = now;
    }
  }
}

/// Releases runs that the runner lists neither as running nor as ended, if no
/// order can start them any more. A run whose start was sent to a former life
/// and may still be carried out is stopped instead.
void RunnerRegistry::releaseMissing(RunnerEntry &runner,
                                    const PollAnswer &answer, SteadyTime now) {
  if (answer.Ended.size() >= MaxEndsPerAnswer) {
    return;
  }
  std::set<RunKey> running;
  for (const RunningRun &it : answer.Running) {
    running.insert(it.Run);
  }
  std::vector<RunKey> missing;
  for (auto &[run, it] : runner.Runs) {
    const bool settled =
        it.Stage == RunStage::Inherited ||
        (it.ConfirmedAt && *it.ConfirmedAt < runner.PollSentAt);
    if (!settled || running.contains(run)) {
      continue;
    }
    if (it.Stage == RunStage::Inherited && it.Unanswered) {
      beginStop(it, now);
    } else {
      missing.push_back(run);
    }
  }
  for (const RunKey &it : missing) {
    const std::string checkpoint = runner.Runs.at(it).Checkpoint;
    release(runner, it, protocol::RUN_LOST, 0, checkpoint);
  }
}

} // namespace masticwinch::workflow
