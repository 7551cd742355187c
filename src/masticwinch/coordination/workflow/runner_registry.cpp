#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <algorithm>
#include <set>

namespace masticwinch::workflow {

namespace {

/// Ends that a runner lists in one answer; with as many there may be more.
constexpr std::size_t EndsPerAnswer = 500;

} // namespace

bool RunnerEntry::hasLabel(const std::string &label) const {
  const auto &labels = Info.labels();
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string RunnerEntry::rack() const {
  // The kind comes first, the rack second.
  return Info.labels_size() > 1 ? Info.labels(1) : std::string();
}

const RunnerEntry *RunnerRegistry::find(const std::string &id) const {
  const auto it = Runners.find(id);
  return it == Runners.end() ? nullptr : &it->second;
}

RunnerEntry *RunnerRegistry::entry(const std::string &id) {
  const auto it = Runners.find(id);
  return it == Runners.end() || it->second.Gone ? nullptr : &it->second;
}

TrackedRun *RunnerRegistry::trackedRun(const std::string &id,
                                       const RunKey &run) {
  RunnerEntry *runner = entry(id);
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
    runner.InheritedUntil =
        now + Options.ClockSlack +
        Options.Lease * 1000 / (1000 - RunnerClock::SlowPermille);
    runner.NextLook = now;
    runner.LastAnswer = now;
  }
  ResourceAmounts used = amountsOf(runner.Info.capacity());
  used -= runner.Free;
  runner.Info = info;
  runner.Free = amountsOf(info.capacity());
  runner.Free -= used;
}

void RunnerRegistry::inherit(const std::string &id, const RunKey &run,
                             const ResourceAmounts &needs) {
  if (RunnerEntry *runner = entry(id)) {
    TrackedRun &made = runner->Runs[run];
    made.Stage = RunStage::Inherited;
    made.Needs = needs;
    runner->Free -= needs;
  }
}

void RunnerRegistry::remove(const std::string &id) {
  RunnerEntry *runner = entry(id);
  if (!runner) {
    return;
  }
  releaseAll(*runner, protocol::RUN_LOST);
  runner->Gone = true;
  Out.Gone.push_back(id);
}

void RunnerRegistry::observeClock(const std::string &id, std::int64_t clockMs,
                                  SteadyTime now) {
  if (RunnerEntry *runner = entry(id)) {
    runner->Clock.observe(clockMs, now);
  }
}

void RunnerRegistry::reserve(const std::string &id, const RunKey &run,
                             TrackedRun made, SteadyTime now) {
  RunnerEntry *runner = entry(id);
  made.Stage = RunStage::Reserved;
  made.Since = now;
  runner->Free -= made.Needs;
  runner->Runs[run] = std::move(made);
}

void RunnerRegistry::start(const std::string &id, const RunKey &run,
                           SteadyTime now) {
  TrackedRun *it = trackedRun(id, run);
  if (it && it->Stage == RunStage::Reserved) {
    it->Stage = RunStage::Starting;
    sendStart(*entry(id), run, *it, now);
  }
}

void RunnerRegistry::beginStop(TrackedRun &it, SteadyTime now) {
  it.Stage = RunStage::Stopping;
  it.ConfirmedAt.reset();
  it.NextTry = now;
  NextStopRetry = std::min(NextStopRetry, now);
}

void RunnerRegistry::stop(const std::string &id, const RunKey &run,
                          SteadyTime now) {
  TrackedRun *it = trackedRun(id, run);
  if (!it || it->Stage == RunStage::Stopping) {
    return;
  }
  if (it->Stage == RunStage::Reserved) {
    // The order to start has not been given.
    release(*entry(id), run, protocol::RUN_LOST, 0, it->Checkpoint);
    return;
  }
  beginStop(*it, now);
  if (entry(id)->Adopted) {
    sendStop(*entry(id), run, *it, now);
  }
}

std::int64_t RunnerRegistry::leaseEnd(RunnerEntry &runner, SteadyTime now) {
  const std::int64_t until = runner.Clock.at(now) + Options.Lease.count();
  runner.LeaseSentMs = std::max(runner.LeaseSentMs, until);
  return until;
}

void RunnerRegistry::sendStart(RunnerEntry &runner, const RunKey &run,
                               TrackedRun &it, SteadyTime now) {
  it.CallOut = true;
  it.Tries += 1;
  Out.Starts.push_back({runner.Info.id(), runner.Info.address(), run,
                        it.Payload, leaseEnd(runner, now), it.Checkpoint,
                        it.Ticket});
}

void RunnerRegistry::sendStop(RunnerEntry &runner, const RunKey &run,
                              TrackedRun &it, SteadyTime now) {
  it.CallOut = true;
  it.NextTry = now + Options.RetryPause;
  Out.Stops.push_back({runner.Info.id(), runner.Info.address(), run});
}

void RunnerRegistry::sendLook(RunnerEntry &runner, SteadyTime now) {
  PollOrder order;
  order.Runner = runner.Info.id();
  order.Address = runner.Info.address();
  order.Sequence = ++runner.LookSequence;
  order.EndsStored = runner.EndsStored;
  // A runner that does not answer gets no longer lease, so that its runs are
  // over at a known time.
  if (runner.Adopted && runner.SilentLooks == 0) {
    order.LeaseUntilMs = leaseEnd(runner, now);
    order.WaitMs = Options.LookWaitMs;
  }
  runner.LookOut = true;
  runner.LookSentAt = now;
  Out.Polls.push_back(std::move(order));
}

void RunnerRegistry::startAnswered(const std::string &id, const RunKey &run,
                                   OrderAnswer answer, SteadyTime now) {
  RunnerEntry *runner = entry(id);
  if (!runner) {
    return;
  }
  if (answer == OrderAnswer::OtherLife) {
    remove(id);
    return;
  }
  Out.Deposed = Out.Deposed || answer == OrderAnswer::Fenced;
  if (answer == OrderAnswer::Unwell || answer == OrderAnswer::Silent) {
    runner->UnwellUntil = now + Options.UnwellPause;
  } else {
    runner->LastAnswer = now;
  }
  TrackedRun *it = trackedRun(id, run);
  if (!it || it->Stage != RunStage::Starting) {
    return;
  }
  it->CallOut = false;
  const bool neverRan =
      answer == OrderAnswer::NoRoom || answer == OrderAnswer::TicketInvalid ||
      answer == OrderAnswer::Unwell || answer == OrderAnswer::Late;
  if (answer == OrderAnswer::Done) {
    Out.Confirmed.push_back(run);
    it->Stage = RunStage::Running;
    it->ConfirmedAt = now;
  } else if (neverRan && !it->Unanswered) {
    release(*runner, run, protocol::RUN_LOST, 0, it->Checkpoint);
  } else if (answer == OrderAnswer::Silent && it->Tries < Options.StartTries) {
    it->Unanswered = true;
    sendStart(*runner, run, *it, now);
  } else {
    beginStop(*it, now);
  }
}

void RunnerRegistry::stopAnswered(const std::string &id, const RunKey &run,
                                  OrderAnswer answer, SteadyTime now) {
  if (answer == OrderAnswer::OtherLife) {
    remove(id);
    return;
  }
  Out.Deposed = Out.Deposed || answer == OrderAnswer::Fenced;
  TrackedRun *it = trackedRun(id, run);
  if (!it || it->Stage != RunStage::Stopping) {
    return;
  }
  it->CallOut = false;
  if (answer == OrderAnswer::Done || answer == OrderAnswer::Outdated) {
    it->ConfirmedAt = now;
  }
}

void RunnerRegistry::pollAnswered(const std::string &id, std::uint64_t sequence,
                                  const PollAnswer &answer, SteadyTime now) {
  RunnerEntry *runner = entry(id);
  if (!runner || sequence != runner->LookSequence) {
    return;
  }
  runner->LookOut = false;
  if (answer.Answer == OrderAnswer::OtherLife) {
    remove(id);
    return;
  }
  if (answer.Answer != OrderAnswer::Done) {
    Out.Deposed = Out.Deposed || answer.Answer == OrderAnswer::Fenced;
    runner->SilentLooks += 1;
    runner->NextLook = now + Options.RetryPause;
    return;
  }
  runner->SilentLooks = 0;
  runner->LastAnswer = now;
  runner->Clock.observe(answer.ClockMs, now);
  takeEnds(*runner, answer);
  takeRunning(*runner, answer, now);
  dropMissing(*runner, answer);
  runner->Adopted = true;
  runner->NextLook = answer.Ended.empty() ? now : now + Options.LookPause;
}

void RunnerRegistry::takeEnds(RunnerEntry &runner, const PollAnswer &answer) {
  for (const EndedRun &it : answer.Ended) {
    if (it.Number <= runner.EndsSeen) {
      continue;
    }
    runner.EndsSeen = it.Number;
    if (runner.Runs.contains(it.Run)) {
      release(runner, it.Run, it.How, it.Number, it.Checkpoint);
      continue;
    }
    ObservedEnd end;
    end.Runner = runner.Info.id();
    end.Number = it.Number;
    Out.Ends.push_back(std::move(end));
  }
}

/// What runs without being held was left behind by an earlier leader.
void RunnerRegistry::takeRunning(RunnerEntry &runner, const PollAnswer &answer,
                                 SteadyTime now) {
  for (const RunningRun &it : answer.Running) {
    const auto found = runner.Runs.find(it.Run);
    if (found == runner.Runs.end()) {
      TrackedRun &stray = runner.Runs[it.Run];
      stray.Needs = NeedsOf(it.Run.Task.Step);
      runner.Free -= stray.Needs;
      beginStop(stray, now);
      continue;
    }
    TrackedRun &held = found->second;
    held.Checkpoint = it.Checkpoint;
    if (held.Stage == RunStage::Inherited || held.Stage == RunStage::Starting) {
      Out.Confirmed.push_back(it.Run);
      held.Stage = RunStage::Running;
      held.ConfirmedAt = now;
      held.Since = now;
    }
  }
}

/// Releases what the runner neither runs nor lists as ended, where no order
/// can start it any more.
void RunnerRegistry::dropMissing(RunnerEntry &runner,
                                 const PollAnswer &answer) {
  if (answer.Ended.size() >= EndsPerAnswer) {
    return;
  }
  std::set<RunKey> running;
  for (const RunningRun &it : answer.Running) {
    running.insert(it.Run);
  }
  std::vector<RunKey> missing;
  for (const auto &[run, it] : runner.Runs) {
    const bool settled =
        it.Stage == RunStage::Inherited ||
        (it.ConfirmedAt && *it.ConfirmedAt < runner.LookSentAt);
    if (settled && !running.contains(run)) {
      missing.push_back(run);
    }
  }
  for (const RunKey &it : missing) {
    const std::string checkpoint = runner.Runs.at(it).Checkpoint;
    release(runner, it, protocol::RUN_LOST, 0, checkpoint);
  }
}

void RunnerRegistry::release(RunnerEntry &runner, const RunKey &run,
                             protocol::RunEnd how, std::uint64_t number,
                             const std::string &checkpoint) {
  const auto it = runner.Runs.find(run);
  runner.Free += it->second.Needs;
  ObservedEnd end;
  end.Runner = runner.Info.id();
  end.Number = number;
  *end.End.mutable_task() = refOf(run.Task);
  end.End.set_run(run.Run);
  end.End.set_runner(runner.Info.id());
  end.End.set_how(how);
  end.End.set_checkpoint(checkpoint);
  runner.Runs.erase(it);
  Out.Ends.push_back(std::move(end));
}

void RunnerRegistry::releaseAll(RunnerEntry &runner, protocol::RunEnd how) {
  while (!runner.Runs.empty()) {
    const auto first = runner.Runs.begin();
    const RunKey run = first->first;
    const std::string checkpoint = first->second.Checkpoint;
    release(runner, run, how, 0, checkpoint);
  }
}

void RunnerRegistry::endStored(const std::string &id, std::uint64_t number) {
  if (RunnerEntry *runner = entry(id)) {
    runner->EndsStored = std::max(runner->EndsStored, number);
  }
}

bool RunnerRegistry::isUsable(const RunnerEntry &runner, SteadyTime now) const {
  return !runner.Gone && runner.Adopted && !runner.Info.draining() &&
         runner.SilentLooks == 0 && now >= runner.UnwellUntil &&
         now - runner.LastAnswer < Options.FreshFor;
}

void RunnerRegistry::lapse(RunnerEntry &runner, SteadyTime now) {
  if (runner.SilentLooks == 0 || runner.Runs.empty()) {
    return;
  }
  const bool inheritedOver = now >= runner.InheritedUntil;
  const bool ownOver =
      runner.LeaseSentMs == 0 ||
      (runner.Clock.known() &&
       now >= runner.Clock.whenPassed(runner.LeaseSentMs) + Options.ClockSlack);
  if (!inheritedOver || !ownOver) {
    return;
  }
  releaseAll(runner, protocol::RUN_LAPSED);
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
    if (!runner.LookOut && now >= runner.NextLook) {
      sendLook(runner, now);
    }
    lapse(runner, now);
    if (!retryStops) {
      continue;
    }
    for (auto &[run, it] : runner.Runs) {
      if (it.Stage == RunStage::Stopping && !it.CallOut && !it.ConfirmedAt &&
          runner.Adopted && now >= it.NextTry) {
        sendStop(runner, run, it, now);
      }
    }
  }
}

} // namespace masticwinch::workflow
