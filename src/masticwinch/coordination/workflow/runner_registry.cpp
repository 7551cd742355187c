#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <algorithm>
#include <stdexcept>

namespace masticwinch::workflow {

bool RunnerEntry::hasLabel(const std::string &label) const {
  const auto &labels = Info.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string RunnerEntry::rack() const {
  // The first label is the kind of the runner, the second its rack.
  return Info.labels_size() > 1 ? Info.labels(1) : std::string();
}

const RunnerEntry *RunnerRegistry::find(const std::string &id) const {
  const auto it = Runners.find(id);
  return it == Runners.end() ? nullptr : &it->second;
}

RunnerEntry *RunnerRegistry::findActive(const std::string &id) {
  const auto it = Runners.find(id);
  return it == Runners.end() || it->second.Gone ? nullptr : &it->second;
}

/// Returns null if another life of the runner is known.
RunnerEntry *RunnerRegistry::findLife(const RunnerLife &life) {
  RunnerEntry *runner = findActive(life.Id);
  return runner && runner->life() == life ? runner : nullptr;
}

/// Throws `std::overflow_error` when the numbers of the term are used up, which
/// costs the leadership; a later term has numbers of its own.
std::uint32_t RunnerRegistry::nextLifeNumber() {
  if (LastLifeNumber == MaxLifeNumber) {
    throw std::overflow_error("the numbers of runners' lives are used up");
  }
  return ++LastLifeNumber;
}

TrackedRun *RunnerRegistry::trackedRun(const std::string &id,
                                       const RunKey &run) {
  RunnerEntry *runner = findActive(id);
  if (!runner) {
    return nullptr;
  }
  const auto it = runner->Runs.find(run);
  return it == runner->Runs.end() ? nullptr : &it->second;
}

void RunnerRegistry::add(const protocol::RunnerInfo &info, SteadyTime now) {
  const auto [it, added] = Runners.try_emplace(info.id());
  RunnerEntry &runner = it->second;
  if (added) {
    runner.LifeNumber = nextLifeNumber();
    runner.InheritedLeasesUntil =
        now + longestDuration(info.restarted() ? Options.LongestLease
                                               : Options.Lease);
    runner.NextPoll = now;
    runner.LastAnswer = now;
  } else if (info.born_unix_ms() < runner.Info.born_unix_ms()) {
    return;
  } else if (info.born_unix_ms() > runner.Info.born_unix_ms()) {
    beginLife(runner, info, now);
  }
  runner.Unannounced = false;
  ResourceAmounts used = amountsOf(runner.Info.capacity());
  used -= runner.Free;
  runner.Info = info;
  runner.Free = amountsOf(info.capacity());
  runner.Free -= used;
  if (runner.Leaving || info.leaving()) {
    // What is stored of the runner may be older than its deregistration.
    beginLeaving(runner, now);
  }
}

/// The longest time in which a runner's clock counts this duration.
SteadyTime::duration
RunnerRegistry::longestDuration(Milliseconds duration) const {
  return Options.ClockUncertainty +
         duration * 1000 / (1000 - RunnerClock::MaxSlowdownPermille);
}

/// Forgets the runner's former life. Its runs have ended with it, but a start
/// that was sent to it may have reached the new life, or still may; so runs
/// stay tracked until a poll shows what the new life runs. Only those that have
/// not been ordered to start are released.
void RunnerRegistry::beginLife(RunnerEntry &runner,
                               const protocol::RunnerInfo &info,
                               SteadyTime now) {
  reportEnded(runner);
  releaseReserved(runner);
  for (auto &[run, it] : runner.Runs) {
    it.Unanswered = it.Unanswered || it.Stage == RunStage::Starting;
    it.CallPending = false;
    if (it.Stage == RunStage::Stopping) {
      beginStop(it, now);
    } else {
      it.Stage = RunStage::Inherited;
      it.ConfirmedAt.reset();
    }
    it.Started = false;
    it.StartedAt.reset();
  }
  RunnerEntry next;
  next.Runs = std::move(runner.Runs);
  // Answers to polls of the former life stay outdated.
  next.PollSequence = runner.PollSequence;
  next.Info = info;
  next.LifeNumber = nextLifeNumber();
  next.Info.clear_leaving();
  next.Free = amountsOf(info.capacity());
  for (const auto &[run, it] : next.Runs) {
    next.Free -= it.Needs;
  }
  next.InheritedLeasesUntil = now + longestDuration(Options.LongestLease);
  next.NextPoll = now;
  next.LastAnswer = now;
  runner = std::move(next);
}

void RunnerRegistry::inheritLost(const std::string &id) {
  if (RunnerEntry *runner = findActive(id)) {
    runner->Lost = true;
  }
}

/// Reports the confirmed runs of a runner that was lost at this time.
void RunnerRegistry::reportLost(RunnerEntry &runner, SteadyTime lostAt,
                                bool disconnected) {
  if (runner.Lost || runner.Leaving) {
    return;
  }
  LostRunner lost{runner.life(), {}, disconnected};
  for (const auto &[run, it] : runner.Runs) {
    if (!it.Started) {
      continue;
    }
    ExposedRun exposed{run, std::nullopt};
    if (it.StartedAt) {
      exposed.Age = std::max(
          std::chrono::duration_cast<Milliseconds>(lostAt - *it.StartedAt),
          Milliseconds(0));
    }
    lost.Runs.push_back(exposed);
  }
  if (!lost.Runs.empty()) {
    runner.Lost = true;
    Effects.Lost.push_back(std::move(lost));
  }
}

/// Reports that the runner's life has ended. One that was draining was expected
/// to end.
void RunnerRegistry::reportEnded(RunnerEntry &runner) {
  const bool crashed = !runner.Info.draining();
  if (crashed) {
    reportLost(runner, runner.LastAnswer, true);
  }
  if (runner.Lost) {
    runner.Lost = false;
    Effects.Resolved.push_back({runner.life(), crashed});
  }
}

/// Reports that a runner that was lost answers again in the same life.
void RunnerRegistry::reportAnswering(RunnerEntry &runner) {
  if (runner.Lost) {
    runner.Lost = false;
    Effects.Resolved.push_back({runner.life(), false});
  }
}

void RunnerRegistry::inherit(const std::string &id, const RunKey &run,
                             RunTerms terms) {
  if (RunnerEntry *runner = findActive(id)) {
    TrackedRun tracked;
    tracked.Stage = RunStage::Inherited;
    tracked.Needs = terms.Needs;
    tracked.Account = std::move(terms.Account);
    occupy(*runner, run, std::move(tracked));
  }
}

void RunnerRegistry::leave(const std::string &id, SteadyTime now) {
  RunnerEntry *runner = findActive(id);
  if (!runner) {
    return;
  }
  beginLeaving(*runner, now);
  if (runner->Runs.empty()) {
    discard(*runner);
  } else if (!runner->PollPending) {
    runner->NextPoll = now;
  }
}

void RunnerRegistry::beginLeaving(RunnerEntry &runner, SteadyTime now) {
  runner.Info.set_draining(true);
  runner.Info.set_leaving(true);
  if (!runner.Leaving) {
    runner.Leaving = true;
    runner.LeavingSince = now;
    reportEnded(runner);
    releaseReserved(runner);
  }
}

/// Stops all runs that are not being stopped yet, so that the runner saves
/// their work.
void RunnerRegistry::stopRuns(RunnerEntry &runner, SteadyTime now) {
  for (auto &[run, it] : runner.Runs) {
    if (it.Stage == RunStage::Stopping) {
      continue;
    }
    beginStop(it, now);
    if (runner.Adopted) {
      sendStop(runner, run, it, now);
    }
  }
}

void RunnerRegistry::remove(const std::string &id) {
  RunnerEntry *runner = findActive(id);
  if (!runner) {
    return;
  }
  reportEnded(*runner);
  discard(*runner);
}

/// Removes a runner without knowing whether it crashed.
void RunnerRegistry::discard(RunnerEntry &runner) {
  releaseAll(runner, protocol::RUN_LOST);
  runner.Gone = true;
  Effects.Gone.push_back(runner.life());
}

void RunnerRegistry::forget(const std::string &id) {
  if (RunnerEntry *runner = findActive(id)) {
    discard(*runner);
  }
  Runners.erase(id);
}

void RunnerRegistry::observeClock(const std::string &id, std::int64_t clockMs,
                                  SteadyTime now) {
  if (RunnerEntry *runner = findActive(id)) {
    runner->Clock.observe(clockMs, now);
  }
}

void RunnerRegistry::reserve(const std::string &id, const RunKey &run,
                             TrackedRun tracked, SteadyTime now) {
  RunnerEntry *runner = findActive(id);
  tracked.Stage = RunStage::Reserved;
  tracked.OccupiedSince = now;
  occupy(*runner, run, std::move(tracked));
}

void RunnerRegistry::start(const std::string &id, const RunKey &run,
                           SteadyTime now) {
  TrackedRun *it = trackedRun(id, run);
  if (!it || it->Stage != RunStage::Reserved) {
    return;
  }
  RunnerEntry &runner = *findActive(id);
  if (runner.isOvercommitted()) {
    // The runner has shrunk while the assignment was being stored.
    release(runner, run, protocol::RUN_LOST, 0, it->Checkpoint);
  } else {
    it->Stage = RunStage::Starting;
    sendStart(runner, run, *it, now);
  }
}

void RunnerRegistry::beginStop(TrackedRun &it, SteadyTime now) {
  it.Stage = RunStage::Stopping;
  it.ConfirmedAt.reset();
  it.NextStopAttempt = now;
  NextStopRetry = std::min(NextStopRetry, now);
}

void RunnerRegistry::stop(const std::string &id, const RunKey &run,
                          SteadyTime now) {
  TrackedRun *it = trackedRun(id, run);
  if (!it || it->Stage == RunStage::Stopping) {
    return;
  }
  if (it->Stage == RunStage::Reserved) {
    // No start order has been sent.
    release(*findActive(id), run, protocol::RUN_LOST, 0, it->Checkpoint);
    return;
  }
  beginStop(*it, now);
  if (findActive(id)->Adopted) {
    sendStop(*findActive(id), run, *it, now);
  }
}

std::int64_t RunnerRegistry::extendLease(RunnerEntry &runner, SteadyTime now) {
  const std::int64_t until = runner.Clock.at(now) + Options.Lease.count();
  runner.LeaseSentMs = std::max(runner.LeaseSentMs, until);
  return until;
}

void RunnerRegistry::sendStart(RunnerEntry &runner, const RunKey &run,
                               TrackedRun &it, SteadyTime now) {
  it.CallPending = true;
  it.CallSentAt = now;
  it.StartAttempts += 1;
  Effects.Starts.push_back({runner.Info.id(), runner.Info.address(), run,
                            it.Payload, extendLease(runner, now), it.Checkpoint,
                            it.Ticket, runner.Info.born_unix_ms(),
                            runner.LifeNumber});
}

void RunnerRegistry::sendStop(RunnerEntry &runner, const RunKey &run,
                              TrackedRun &it, SteadyTime now) {
  it.CallPending = true;
  it.CallSentAt = now;
  it.NextStopAttempt = now + Options.RetryDelay;
  Effects.Stops.push_back({runner.Info.id(), runner.Info.address(), run,
                           runner.Info.born_unix_ms(), runner.LifeNumber});
}

/// Whether polls leave their connection to the orders, as the runner takes no
/// other one.
bool RunnerRegistry::leavesConnection(const RunnerEntry &runner,
                                      SteadyTime now) const {
  return runner.ClosesConnections &&
         now - runner.ClosedConnectionAt < Options.ShortPollTime;
}

void RunnerRegistry::sendPoll(RunnerEntry &runner, SteadyTime now) {
  PollOrder poll;
  poll.Runner = runner.Info.id();
  poll.Address = runner.Info.address();
  poll.BornUnixMs = runner.Info.born_unix_ms();
  poll.LifeNumber = runner.LifeNumber;
  poll.Sequence = ++runner.PollSequence;
  // A call names the runner by its id alone. Another life of it would drop ends
  // that it has not listed yet, since its numbers begin anew.
  if (runner.FailedPolls == 0 &&
      now - runner.LastPollAnswer <= Options.AcknowledgeWithin) {
    poll.EndsStored = runner.EndsStored;
  }
  if (runner.Adopted && runner.FailedPolls == 0) {
    poll.WaitMs = leavesConnection(runner, now) ? 0 : Options.PollWaitMs;
    // The lease of a runner that leaves or does not answer is not extended, so
    // that it has a known end.
    if (!runner.Leaving) {
      poll.LeaseUntilMs = extendLease(runner, now);
    }
  }
  runner.PollPending = true;
  runner.PollSentAt = now;
  Effects.Polls.push_back(std::move(poll));
}

void RunnerRegistry::endStored(const RunnerLife &life, std::uint64_t number) {
  if (RunnerEntry *runner = findLife(life)) {
    runner->EndsStored = std::max(runner->EndsStored, number);
  }
}

bool RunnerRegistry::isUsable(const RunnerEntry &runner, SteadyTime now) const {
  return !runner.Gone && runner.Adopted && !runner.Unannounced &&
         !runner.Info.draining() && runner.FailedPolls == 0 &&
         now >= runner.UnwellUntil &&
         now - runner.LastAnswer < Options.MaxAnswerAge;
}

void RunnerRegistry::releaseLapsed(RunnerEntry &runner, SteadyTime now) {
  const bool mayBeRenewed = runner.FailedPolls == 0 && !runner.Leaving;
  if (mayBeRenewed || runner.Runs.empty()) {
    return;
  }
  const bool inheritedOver = now >= runner.InheritedLeasesUntil;
  const bool ownOver = runner.LeaseSentMs == 0 ||
                       (runner.Clock.hasReading() &&
                        now >= runner.Clock.surelyPassedAt(runner.LeaseSentMs) +
                                   Options.ClockUncertainty);
  if (!inheritedOver || !ownOver) {
    return;
  }
  releaseAll(runner, protocol::RUN_LAPSED);
}

/// Without this, an order whose outcome was lost on its way to the leader would
/// keep its run assigned for good.
void RunnerRegistry::expireOrders(const std::string &id, RunnerEntry &runner,
                                  SteadyTime now) {
  const Milliseconds pollTimeout =
      Options.OutcomeTimeout + Milliseconds(Options.PollWaitMs);
  const bool pollOverdue =
      runner.PollPending && now - runner.PollSentAt > pollTimeout;
  std::vector<std::pair<RunKey, RunStage>> overdue;
  for (const auto &[run, it] : runner.Runs) {
    if (it.CallPending && now - it.CallSentAt > Options.OutcomeTimeout) {
      overdue.emplace_back(run, it.Stage);
    }
  }
  if (!pollOverdue && overdue.empty()) {
    return;
  }
  Effects.Overdue.push_back({id, pollOverdue, overdue.size()});
  if (pollOverdue) {
    pollFailed(runner, OrderAnswer::Silent, now);
  }
  const std::uint64_t born = runner.Info.born_unix_ms();
  for (const auto &[run, stage] : overdue) {
    if (stage == RunStage::Starting) {
      startAnswered({id, {}, run, {}, 0, {}, {}, born}, OrderAnswer::Silent,
                    now);
    } else {
      stopAnswered({id, {}, run, born}, OrderAnswer::Silent, now);
    }
  }
}

void RunnerRegistry::tick(SteadyTime now) {
  const bool retryStops = now >= NextStopRetry;
  if (retryStops) {
    NextStopRetry = now + Options.StopRetryInterval;
  }
  for (auto &[id, runner] : Runners) {
    if (runner.Gone) {
      continue;
    }
    if (!runner.PollPending && now >= runner.NextPoll) {
      sendPoll(runner, now);
    }
    releaseLapsed(runner, now);
    if (runner.Leaving && runner.Runs.empty()) {
      discard(runner);
      continue;
    }
    if (runner.Leaving && now - runner.LeavingSince >= Options.LeaveGrace) {
      stopRuns(runner, now);
    }
    if (!retryStops) {
      continue;
    }
    expireOrders(id, runner, now);
    retryOrders(runner, now);
  }
}

/// Sends the starts and stops again whose time has come.
void RunnerRegistry::retryOrders(RunnerEntry &runner, SteadyTime now) {
  for (auto &[run, it] : runner.Runs) {
    if (it.CallPending || !runner.Adopted) {
      continue;
    }
    if (it.Stage == RunStage::Stopping && !it.ConfirmedAt &&
        now >= it.NextStopAttempt) {
      sendStop(runner, run, it, now);
    } else if (it.Stage == RunStage::Starting && now >= it.NextStartAttempt) {
      retryStart(runner, run, it, now);
    }
  }
}

void RunnerRegistry::retryStart(RunnerEntry &runner, const RunKey &run,
                                TrackedRun &it, SteadyTime now) {
  if (runner.isOvercommitted() || runner.Leaving) {
    beginStop(it, now);
  } else {
    sendStart(runner, run, it, now);
  }
}

} // namespace masticwinch::workflow
