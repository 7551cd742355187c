#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>

namespace masticwinch::workflow {

/// Adds a runner that has an assigned run but isn't recorded, so that the run
/// is released once its lease has expired. Polls of it fail: it has no address.
void WorkflowLeader::addMissingRunner(const std::string &id, Moment at) {
  if (Registry.find(id)) {
    return;
  }
  logEvent(WorkflowEventKind::RunnerMissing, {{"runner", id}});
  protocol::RunnerInfo info;
  info.set_id(id);
  Registry.add(info, at.Now);
  Heartbeats[id] = {0, 0, at.Now};
}

/// Logs that a message of another incarnation of a known runner arrived, with
/// what is known of the former one.
void WorkflowLeader::logReborn(const RunnerEntry &known,
                               std::uint64_t bornUnixMs, const char *source) {
  logEvent(WorkflowEventKind::RunnerReborn,
           {{"runner", known.Info.id()},
            {"source", source},
            {"born", std::to_string(bornUnixMs)},
            {"known_born", std::to_string(known.Info.born_unix_ms())},
            {"last_end_seen", std::to_string(known.LastEndSeen)},
            {"ends_stored", std::to_string(known.EndsStored)},
            {"lease_sent_ms", std::to_string(known.LeaseSentMs)},
            {"runs", std::to_string(known.Runs.size())}});
}

/// Why a heartbeat doesn't count; null if it does.
const char *WorkflowLeader::outdatedReason(const protocol::RunnerInfo &info,
                                           std::uint64_t sequence) const {
  const RunnerEntry *known = Registry.find(info.id());
  const auto last = Heartbeats.find(info.id());
  const bool late = last != Heartbeats.end() &&
                    last->second.BornUnixMs == info.born_unix_ms() &&
                    sequence < last->second.Sequence;
  if (!known || info.born_unix_ms() > known->Info.born_unix_ms()) {
    // The runner may still be about to be stored.
    return late ? "lower sequence" : nullptr;
  }
  if (info.born_unix_ms() < known->Info.born_unix_ms()) {
    return info.born_unix_ms() == 0 ? "states no life" : "former life";
  }
  if (known->Gone) {
    return "the runner is gone";
  }
  if (known->Leaving) {
    return "the runner has deregistered";
  }
  return late ? "lower sequence" : nullptr;
}

/// Whether the state has all that the runner announces.
bool WorkflowLeader::isRecorded(const protocol::RunnerInfo &info) const {
  const auto found = State.runners().find(info.id());
  if (found == State.runners().end()) {
    return false;
  }
  protocol::RunnerInfo recorded = found->second;
  recorded.clear_restarted();
  return recorded.SerializeAsString() == info.SerializeAsString();
}

void WorkflowLeader::heartbeat(const protocol::RunnerInfo &info,
                               std::uint64_t sequence, std::int64_t clockMs,
                               StoredCallback stored, Moment at) {
  if (const char *reason = outdatedReason(info, sequence)) {
    logEvent(WorkflowEventKind::HeartbeatOutdated,
             {{"runner", info.id()},
              {"reason", reason},
              {"sequence", std::to_string(sequence)},
              {"born", std::to_string(info.born_unix_ms())}});
    stored();
    return;
  }
  Heartbeats[info.id()] = {info.born_unix_ms(), sequence, at.Now};
  const RunnerEntry *known = Registry.find(info.id());
  if (known && known->Info.born_unix_ms() < info.born_unix_ms()) {
    logReborn(*known, info.born_unix_ms(), "heartbeat");
    Registry.add(info, at.Now);
    forgetFormerLife(info.id());
  } else if (known && known->Unannounced) {
    Registry.add(info, at.Now);
  }
  // One that is being stored would replace what is recorded.
  if (isRecorded(info) && !RecordsBeingStored.contains(info.id())) {
    Registry.observeClock(info.id(), clockMs, at.Now);
    stored();
    return;
  }
  if (info.draining() && known) {
    // The runner gets no new work from now on, even before the change is
    // stored.
    Registry.add(info, at.Now);
    logEvent(WorkflowEventKind::RunnerDraining, {{"runner", info.id()}});
  } else if (known && info.born_unix_ms() == known->Info.born_unix_ms() &&
             !amountsOf(info.capacity())
                  .canFit(amountsOf(known->Info.capacity()))) {
    // Less room counts at once, too.
    Registry.add(info, at.Now);
    logEvent(WorkflowEventKind::RunnerShrank,
             {{"runner", info.id()},
              {"milli_processors",
               std::to_string(info.capacity().milli_processors())},
              {"memory_mb", std::to_string(info.capacity().memory_mb())},
              {"overcommitted", known->isOvercommitted() ? "yes" : "no"}});
  }
  recordRunner(info, std::move(stored));
}

/// Forgets what belongs to the former life of a runner outside the registry.
void WorkflowLeader::forgetFormerLife(const std::string &id) {
  Health.forget(id);
  Advice.expireTickets(id);
  for (auto &[key, open] : OpenSteps) {
    open.FailedRunners.erase(id);
  }
}

void WorkflowLeader::deregister(const RunnerLife &life, StoredCallback stored,
                                Moment at) {
  const RunnerEntry *known = Registry.find(life.Id);
  if (!known) {
    stored();
    return;
  }
  const bool leaves =
      life.BornUnixMs == 0
          ? known->Info.born_unix_ms() == 0 || known->Info.draining()
          : life.BornUnixMs >= known->Info.born_unix_ms();
  if (!leaves) {
    logEvent(WorkflowEventKind::HeartbeatOutdated,
             {{"runner", life.Id},
              {"reason", "deregistration of another life"},
              {"born", std::to_string(life.BornUnixMs)}});
    stored();
    return;
  }
  if (life.BornUnixMs > known->Info.born_unix_ms()) {
    // The deregistration has overtaken what this life says of itself.
    protocol::RunnerInfo later = known->Info;
    later.set_born_unix_ms(life.BornUnixMs);
    Registry.add(later, at.Now);
  }
  Registry.leave(life.Id, at.Now);
  logEvent(WorkflowEventKind::RunnerLeaving,
           {{"runner", life.Id},
            {"born", std::to_string(life.BornUnixMs)},
            {"runs", std::to_string(known->Runs.size())},
            {"lease_sent_ms", std::to_string(known->LeaseSentMs)}});
  if (known->Gone) {
    forgetRunner(known->life(), std::move(stored));
  } else {
    Departure &departure = Departures[life.Id];
    if (departure.Life != known->life()) {
      departure.Life = known->life();
      departure.Since = at.Now;
      // A later leader has to know where its runs may still be.
      recordRunner(known->Info);
    }
    departure.Waiting.push_back(std::move(stored));
  }
  collectRegistryEffects(at);
  acknowledgeDepartures(at);
}

/// Acknowledges the deregistrations of runners that don't tell in time how
/// their runs have ended. Each waits for that first: a runner that has its
/// acknowledgement is gone, with the ends that it has not told yet.
void WorkflowLeader::acknowledgeDepartures(Moment at) {
  for (auto &[id, departure] : Departures) {
    if (departure.Waiting.empty() ||
        at.Now - departure.Since < Options.DepartureWait) {
      continue;
    }
    const RunnerEntry *runner = Registry.find(id);
    for (StoredCallback &it : std::exchange(departure.Waiting, {})) {
      if (runner && runner->Leaving && runner->life() == departure.Life) {
        recordRunner(runner->Info, std::move(it));
      } else {
        it();
      }
    }
  }
}

void WorkflowLeader::recordRunner(const protocol::RunnerInfo &info,
                                  StoredCallback stored) {
  RecordsBeingStored[info.id()] += 1;
  protocol::WorkflowChange recorded;
  *recorded.mutable_runner()->mutable_runner() = info;
  propose(std::move(recorded), std::move(stored));
}

void WorkflowLeader::forgetRunner(const RunnerLife &life,
                                  StoredCallback stored) {
  protocol::WorkflowChange forgotten;
  forgotten.mutable_forget_runner()->set_id(life.Id);
  forgotten.mutable_forget_runner()->set_born_unix_ms(life.BornUnixMs);
  propose(std::move(forgotten), std::move(stored));
}

void WorkflowLeader::startAnswered(const StartOrder &order, OrderAnswer answer,
                                   Moment at) {
  if (answer != OrderAnswer::Done) {
    logEvent(WorkflowEventKind::StartRefused,
             {{"task", textOf(order.Run.Task)},
              {"run", std::to_string(order.Run.Run)},
              {"runner", order.Runner},
              {"answer", std::string(nameOf(answer))}});
  }
  if (answer == OrderAnswer::TicketInvalid) {
    Advice.ticketRefused(order.Run.Task.Step, order.Runner);
  }
  Registry.startAnswered(order, answer, at.Now);
}

void WorkflowLeader::stopAnswered(const StopOrder &order, OrderAnswer answer,
                                  Moment at) {
  if (answer != OrderAnswer::Done && answer != OrderAnswer::Outdated) {
    logEvent(WorkflowEventKind::StopUnanswered,
             {{"task", textOf(order.Run.Task)},
              {"run", std::to_string(order.Run.Run)},
              {"runner", order.Runner},
              {"answer", std::string(nameOf(answer))}});
  }
  Registry.stopAnswered(order, answer, at.Now);
}

void WorkflowLeader::pollAnswered(const PollOrder &order,
                                  const PollAnswer &answer, Moment at) {
  const RunnerEntry *before = Registry.find(order.Runner);
  const bool adopted = before && before->Adopted;
  const bool silent = before && before->FailedPolls > 0;
  if (before && answer.Answer == OrderAnswer::Done &&
      before->Info.born_unix_ms() < answer.BornUnixMs) {
    logReborn(*before, answer.BornUnixMs, "look");
  }
  Registry.pollAnswered(order, answer, at.Now);
  const RunnerEntry *after = Registry.find(order.Runner);
  if (after && after->Adopted && !adopted) {
    logEvent(WorkflowEventKind::RunnerAdopted,
             {{"runner", order.Runner},
              {"runs", std::to_string(after->Runs.size())}});
    SchedulePending = true;
  } else if (after && after->FailedPolls > 0 && !silent) {
    logEvent(WorkflowEventKind::RunnerSilent,
             {{"runner", order.Runner},
              {"answer", std::string(nameOf(answer.Answer))},
              {"runs", std::to_string(after->Runs.size())}});
  }
}

} // namespace masticwinch::workflow
