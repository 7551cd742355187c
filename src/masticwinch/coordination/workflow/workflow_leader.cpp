#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

protocol::WorkflowAnswer answerOf(protocol::WorkflowVerdict verdict,
                                  std::string reason = {}) {
  protocol::WorkflowAnswer answer;
  answer.set_verdict(verdict);
  answer.set_reason(std::move(reason));
  return answer;
}

} // namespace

WorkflowLeader::WorkflowLeader(const WorkflowLeaderOptions &options,
                               const WorkflowState &state, Moment at)
    : Options(options), State(state),
      Registry(options.Runners,
               [this](const StepKey &key) {
                 const protocol::StepSpec *spec = State.findSpec(key);
                 return spec ? needsOf(*spec) : ResourceAmounts();
               }),
      Advice(options.Advice), Health(options.Health) {
  for (const auto &[id, info] : State.runners()) {
    Registry.add(info, at.Now);
    Heartbeats[id] = {info.born_unix_ms(), 0, at.Now};
  }
  inheritRuns(at);
  logEvent(WorkflowEventKind::LeadershipTaken,
           {{"workflows", std::to_string(State.workflows().size())},
            {"runners", std::to_string(State.runners().size())},
            {"configuration", std::to_string(State.config().version())}});
}

/// Takes over every run that may still be running on a runner.
void WorkflowLeader::inheritRuns(Moment at) {
  for (const auto &[id, workflow] : State.workflows()) {
    for (const Occurrence &occurrence : workflow.Occurrences) {
      for (std::uint32_t step = 0; step < occurrence.Steps.size(); ++step) {
        const StepKey key{id, occurrence.Number, step};
        const ResourceAmounts needs = needsOf(workflow.Spec.steps(int(step)));
        const std::vector<Task> &tasks = occurrence.Steps[step].Tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          if (!tasks[i].Runner.empty()) {
            addMissingRunner(tasks[i].Runner, at);
            Registry.inherit(tasks[i].Runner, {{key, i}, tasks[i].Run}, needs);
          }
        }
      }
    }
    registerWorkflow(workflow, at);
    if (isFinal(workflow.CurrentPhase)) {
      stopAllRuns(workflow, at);
    }
  }
}

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

void WorkflowLeader::registerWorkflow(const Workflow &workflow, Moment at) {
  const std::string &id = workflow.Spec.id();
  if (isFinal(workflow.CurrentPhase)) {
    EndedAt.try_emplace(id, at.Now);
    return;
  }
  static const protocol::QueueConfig NoQueue;
  const protocol::QueueConfig *found =
      findQueue(State.config(), workflow.Spec.queue());
  const protocol::QueueConfig &queue = found ? *found : NoQueue;
  SchedulingInfo &info = Scheduling[id];
  info.CriticalPaths = remainingCriticalPaths(workflow.Spec, queue);
  info.Work = estimatedWork(workflow.Spec);
  const std::uint64_t age = at.UnixMs > workflow.AcceptedAtUnixMs
                                ? at.UnixMs - workflow.AcceptedAtUnixMs
                                : 0;
  info.Ranking.Accepted = at.Now - Milliseconds(age);
  info.Ranking.Priority = queue.priority();
  info.Ranking.Objective =
      Milliseconds(longestCriticalPath(info.CriticalPaths).count() *
                   std::int64_t(queue.stretch_permille()) / 1000) +
      Milliseconds(queue.latency_target_ms());
  if (workflow.Spec.repeats() > 0) {
    Recurring.insert(id);
  }
  refreshSteps(workflow);
}

void WorkflowLeader::logEvent(
    WorkflowEventKind kind,
    std::vector<std::pair<std::string, std::string>> fields) {
  Effects.Events.push_back({kind, std::move(fields)});
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

void WorkflowLeader::propose(protocol::WorkflowChange change,
                             StoredCallback stored) {
  *PendingRecord.add_changes() = std::move(change);
  if (stored) {
    PendingCallbacks.push_back(std::move(stored));
  }
}

void WorkflowLeader::call(const protocol::WorkflowCall &call,
                          AnswerCallback answer, Moment at) {
  if (State.config().version() == 0) {
    answer(answerOf(protocol::VERDICT_NOT_SERVING, "no configuration"));
    return;
  }
  const auto route = findRoute(State.config(), call.host(), call.path());
  if (!route) {
    answer(answerOf(protocol::VERDICT_NO_QUEUE, "no queue has this address"));
    return;
  }
  switch (call.request_case()) {
  case protocol::WorkflowCall::kSubmit:
    return submit(call.submit(), *route, std::move(answer), at);
  case protocol::WorkflowCall::kCancel:
    return cancel(route->Suffix, answer);
  default:
    return answerState(*route, answer, at);
  }
}

/// Returns the cached number of queued workflows, and recounts if it is too
/// old.
std::uint64_t WorkflowLeader::queuedCount(const std::string &queue, Moment at) {
  if (!QueuedCountedAt ||
      at.Now - *QueuedCountedAt > Options.QueuedCountMaxAge) {
    QueuedCountedAt = at.Now;
    QueuedCounts.clear();
    for (const auto &[id, workflow] : State.workflows()) {
      if (!workflow.Started && !isFinal(workflow.CurrentPhase) &&
          !ConfirmedRunning.contains(id)) {
        QueuedCounts[workflow.Spec.queue()] += 1;
      }
    }
  }
  const auto it = QueuedCounts.find(queue);
  return it == QueuedCounts.end() ? 0 : it->second;
}

void WorkflowLeader::answerState(const QueueRoute &route,
                                 const AnswerCallback &answer, Moment at) {
  protocol::WorkflowAnswer reply = answerOf(protocol::VERDICT_OK);
  if (route.Suffix.empty()) {
    reply.set_waiting(queuedCount(route.Queue->name(), at));
    answer(reply);
    return;
  }
  const Workflow *workflow = State.find(route.Suffix);
  if (workflow && workflow->CurrentPhase == Phase::Running) {
    WaitingQueries[route.Suffix].push_back({answer, at.Now});
    return;
  }
  answer(stateAnswer(route.Suffix));
}

protocol::WorkflowAnswer
WorkflowLeader::stateAnswer(const std::string &id) const {
  const Workflow *workflow = State.find(id);
  if (!workflow) {
    return answerOf(protocol::VERDICT_NO_WORKFLOW, "no such workflow");
  }
  protocol::WorkflowAnswer reply = answerOf(protocol::VERDICT_OK);
  reply.set_phase(static_cast<std::uint32_t>(workflow->CurrentPhase));
  return reply;
}

void WorkflowLeader::answerQueries(const std::string &id) {
  const auto waiting = WaitingQueries.extract(id);
  if (waiting.empty()) {
    return;
  }
  for (const WaitingQuery &it : waiting.mapped()) {
    it.Answer(stateAnswer(id));
  }
}

/// Answers the queries of workflows that are not completed in time.
void WorkflowLeader::answerOverdueQueries(SteadyTime now) {
  std::vector<std::string> overdue;
  for (const auto &[id, waiting] : WaitingQueries) {
    const Milliseconds limit =
        EndsBeingStored.contains(id) ? Options.MaxQueryWait : Options.QueryWait;
    if (now - waiting.front().Since >= limit) {
      overdue.push_back(id);
    }
  }
  for (const std::string &it : overdue) {
    answerQueries(it);
  }
}

void WorkflowLeader::cancel(const std::string &id,
                            const AnswerCallback &answer) {
  const Workflow *workflow = State.find(id);
  const bool accepting = PendingSubmissions.contains(id);
  if (!workflow && !accepting) {
    answer(answerOf(protocol::VERDICT_NO_WORKFLOW, "no such workflow"));
    return;
  }
  if (workflow && isFinal(workflow->CurrentPhase)) {
    answer(answerOf(protocol::VERDICT_OK));
    return;
  }
  protocol::WorkflowChange cancelled;
  cancelled.mutable_cancel()->set_id(id);
  logEvent(WorkflowEventKind::WorkflowCancelled, {{"workflow", id}});
  propose(std::move(cancelled),
          [answer] { answer(answerOf(protocol::VERDICT_OK)); });
}

bool WorkflowLeader::fitsSomeRunner(const protocol::WorkflowSpec &spec,
                                    const std::string &pool) const {
  bool any = false;
  std::vector<bool> fits(static_cast<std::size_t>(spec.steps_size()), false);
  for (const auto &[id, runner] : Registry.runners()) {
    if (runner.Gone || runner.Info.pool() != pool) {
      continue;
    }
    any = true;
    const ResourceAmounts whole = amountsOf(runner.Info.capacity());
    for (int i = 0; i < spec.steps_size(); ++i) {
      fits[std::size_t(i)] =
          fits[std::size_t(i)] || whole.canFit(needsOf(spec.steps(i)));
    }
  }
  return !any ||
         std::all_of(fits.begin(), fits.end(), [](bool it) { return it; });
}

/// Processors of the pool's usable runners. If there is none, as before the
/// first polls of a new leader are answered, those of all known runners: they
/// are expected to be usable before a refused caller would retry.
std::uint64_t
WorkflowLeader::expectedProcessors(const std::string &pool) const {
  const auto usable = UsableProcessors.find(pool);
  if (usable != UsableProcessors.end() && usable->second > 0) {
    return usable->second;
  }
  std::uint64_t known = 0;
  for (const auto &[id, runner] : Registry.runners()) {
    const bool staying = !runner.Gone && !runner.Info.draining();
    if (staying && runner.Info.pool() == pool) {
      known += runner.Info.capacity().milli_processors();
    }
  }
  return known;
}

std::optional<Milliseconds>
WorkflowLeader::admissionRetryDelay(const protocol::WorkflowSpec &spec,
                                    const protocol::QueueConfig &queue) const {
  if (spec.repeats() > 0) {
    return std::nullopt;
  }
  AdmissionInput input;
  input.MilliProcessors = expectedProcessors(queue.pool());
  for (const auto &[priority, work] : WaitingWork) {
    input.WorkAhead += priority <= queue.priority() ? work : 0;
  }
  const Milliseconds criticalPath =
      longestCriticalPath(remainingCriticalPaths(spec, queue));
  input.Slack =
      Milliseconds(criticalPath.count() *
                   (std::int64_t(queue.stretch_permille()) - 1000) / 1000) +
      Milliseconds(queue.latency_target_ms());
  input.Salt = std::hash<std::string>()(spec.id());
  return retryAfter(Options.Admission, input);
}

void WorkflowLeader::submit(const protocol::WorkflowSpec &sent,
                            const QueueRoute &route, AnswerCallback answer,
                            Moment at) {
  protocol::WorkflowChange accepted;
  protocol::WorkflowSpec &spec = *accepted.mutable_accept()->mutable_spec();
  spec = sent;
  spec.set_id(route.Suffix);
  spec.set_queue(route.Queue->name());
  if (const auto problem = validationError(spec)) {
    answer(answerOf(protocol::VERDICT_INVALID, *problem));
    return;
  }
  if (State.find(spec.id())) {
    answer(answerOf(protocol::VERDICT_OK, "accepted before"));
    return;
  }
  if (const auto waiting = PendingSubmissions.find(spec.id());
      waiting != PendingSubmissions.end()) {
    waiting->second.push_back(std::move(answer));
    return;
  }
  if (!fitsSomeRunner(spec, route.Queue->pool())) {
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", "larger than every runner"},
              {"queue", spec.queue()},
              {"runners", std::to_string(Registry.runners().size())}});
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "larger than every runner");
    answer(refused);
    return;
  }
  if (const auto after = admissionRetryDelay(spec, *route.Queue)) {
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", "would end late"},
              {"queue", spec.queue()},
              {"configuration", std::to_string(State.config().version())},
              {"steps_waiting", std::to_string(OpenSteps.size())},
              {"retry_after_ms", std::to_string(after->count())}});
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "would end late");
    refused.set_retry_after_ms(static_cast<std::uint32_t>(after->count()));
    answer(refused);
    return;
  }
  accepted.mutable_accept()->set_at_unix_ms(at.UnixMs);
  accepted.mutable_accept()->set_max_attempts(route.Queue->max_attempts());
  PendingSubmissions[spec.id()].push_back(std::move(answer));
  logEvent(WorkflowEventKind::WorkflowAccepted,
           {{"workflow", spec.id()}, {"queue", spec.queue()}});
  propose(std::move(accepted));
}

/// Why a heartbeat doesn't count; null if it does.
const char *WorkflowLeader::outdatedReason(const protocol::RunnerInfo &info,
                                           std::uint64_t sequence) const {
  const RunnerEntry *known = Registry.find(info.id());
  if (!known || info.born_unix_ms() > known->Info.born_unix_ms()) {
    return nullptr;
  }
  if (info.born_unix_ms() < known->Info.born_unix_ms()) {
    return info.born_unix_ms() == 0 ? "states no life" : "former life";
  }
  if (known->Gone) {
    return "the runner is gone";
  }
  const auto last = Heartbeats.find(info.id());
  const bool late = last != Heartbeats.end() &&
                    last->second.BornUnixMs == info.born_unix_ms() &&
                    sequence < last->second.Sequence;
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
  if (isRecorded(info)) {
    Registry.observeClock(info.id(), clockMs, at.Now);
    stored();
    return;
  }
  if (info.draining() && known) {
    // The runner gets no new work from now on, even before the change is
    // stored.
    Registry.add(info, at.Now);
    logEvent(WorkflowEventKind::RunnerDraining, {{"runner", info.id()}});
  }
  protocol::WorkflowChange recordedChange;
  *recordedChange.mutable_runner()->mutable_runner() = info;
  propose(std::move(recordedChange), std::move(stored));
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
  protocol::RunnerInfo leaving = known->Info;
  leaving.set_born_unix_ms(
      std::max(life.BornUnixMs, known->Info.born_unix_ms()));
  Registry.add(leaving, at.Now);
  Registry.remove(life.Id);
  collectRegistryEffects(at);
  protocol::WorkflowChange forgotten;
  forgotten.mutable_forget_runner()->set_id(life.Id);
  forgotten.mutable_forget_runner()->set_born_unix_ms(leaving.born_unix_ms());
  propose(std::move(forgotten), std::move(stored));
}

void WorkflowLeader::configure(const protocol::CellConfig &config,
                               StoredCallback stored, Moment) {
  if (config.version() <= State.config().version()) {
    logEvent(WorkflowEventKind::ConfigurationOutdated,
             {{"version", std::to_string(config.version())},
              {"held", std::to_string(State.config().version())}});
    stored();
    return;
  }
  protocol::WorkflowChange configured;
  *configured.mutable_configure() = config;
  propose(std::move(configured), std::move(stored));
}

void WorkflowLeader::agentSeen(const std::string &address, Moment at) {
  Advice.agentSeen(address, at.Now);
}

void WorkflowLeader::adviceAnswered(const protocol::AdviceResult &result,
                                    Moment at) {
  std::vector<std::pair<std::string, std::string>> approved;
  for (const protocol::ApprovedRunner &it : result.approved()) {
    approved.emplace_back(it.runner(), it.ticket());
  }
  if (!result.answered()) {
    logEvent(WorkflowEventKind::AdviceFailed,
             {{"order", std::to_string(result.order())},
              {"reason", result.reason()}});
  }
  Advice.answered(result.order(), result.answered(), approved,
                  Milliseconds(result.validity_ms()), at.Now);
  SchedulePending = true;
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
              {"answer", std::string(nameOf(answer.Answer))}});
  }
}

} // namespace masticwinch::workflow
