#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/pool_fit.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/record_limits.hpp"
#include "masticwinch/coordination/workflow/spare_processors.hpp"

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

std::size_t taskCount(const protocol::WorkflowSpec &spec) {
  std::size_t count = 0;
  for (const protocol::StepSpec &it : spec.steps()) {
    count += it.count();
  }
  return count;
}

OfferedSubmission offeredOf(const protocol::WorkflowSpec &spec,
                            const protocol::QueueConfig &queue, bool excess) {
  return {spec.id(),           queue.pool(),          queue.priority(),
          estimatedWork(spec), firstProcessors(spec), excess};
}

protocol::RouteTerms termsOf(const protocol::QueueConfig &queue) {
  protocol::RouteTerms terms;
  terms.set_host(queue.host());
  terms.set_path_prefix(queue.path_prefix());
  terms.set_timeout_ms(queue.timeout_ms());
  return terms;
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
      Advice(options.Advice), Health(options.Health),
      Containment(options.Containment), Overdue(options.Overdue),
      LedSince(at.Now), Refused(options.Refused) {
  for (const auto &[id, info] : State.runners()) {
    Registry.add(info, at.Now);
    Heartbeats[id] = {info.born_unix_ms(), 0, at.Now};
    if (State.hasExposures(id, info.born_unix_ms())) {
      Registry.inheritLost(id);
    }
  }
  inheritRuns(at);
  for (auto &[key, open] : OpenSteps) {
    updateSuspicion(key, open, at.Now);
    if (open.SuspectSince) {
      Containment.recordSuspect(open.Parent->Spec.queue(), at.Now);
    }
  }
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

void WorkflowLeader::registerWorkflow(const Workflow &workflow, Moment at) {
  const std::string &id = workflow.Spec.id();
  if (isFinal(workflow.CurrentPhase)) {
    EndedAt.try_emplace(id, at.Now);
    return;
  }
  static const protocol::QueueConfig NoQueue;
  const protocol::QueueConfig *found = State.findQueue(workflow.Spec.queue());
  const protocol::QueueConfig &queue = found ? *found : NoQueue;
  SchedulingInfo &info = Scheduling[id];
  info.CriticalPaths = remainingCriticalPaths(workflow.Spec, queue);
  info.Work = estimatedWork(workflow.Spec);
  info.Size = Sizes.add(workflow.Spec.queue(), info.Work);
  const std::uint64_t age = at.UnixMs > workflow.AcceptedAtUnixMs
                                ? at.UnixMs - workflow.AcceptedAtUnixMs
                                : 0;
  info.Ranking.Accepted = at.Now - Milliseconds(age);
  info.Ranking.Priority = queue.priority();
  info.Ranking.Excess = ExcessWorkflows.contains(id);
  info.Ranking.Objective =
      objectiveOf(longestCriticalPath(info.CriticalPaths), queue);
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
  answer = [answer = std::move(answer), terms = termsOf(*route->Queue),
            version =
                State.config().version()](protocol::WorkflowAnswer reply) {
    reply.set_config_version(version);
    *reply.mutable_route() = terms;
    answer(std::move(reply));
  };
  switch (call.request_case()) {
  case protocol::WorkflowCall::kSubmit:
    return submit(call, *route, std::move(answer), at);
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
    reply.set_waiting(queuedCount(queueId(*route.Queue), at));
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

AdmissionInput
WorkflowLeader::admissionInput(const protocol::WorkflowSpec &spec,
                               const protocol::QueueConfig &queue,
                               SteadyTime now) const {
  AdmissionInput input;
  const Milliseconds criticalPath =
      longestCriticalPath(remainingCriticalPaths(spec, queue));
  input.Slack = objectiveOf(criticalPath, queue) - criticalPath;
  if (const auto work = Waiting.onProbation(queueId(queue))) {
    const auto kept = ProbationProcessors.find(queue.pool());
    input.MilliProcessors = kept == ProbationProcessors.end()
                                ? expectedProcessors(queue.pool())
                                : kept->second;
    input.WorkAhead = *work;
  } else {
    input.MilliProcessors = expectedProcessors(queue.pool());
    input.WorkAhead =
        saturatingAdd(Waiting.aheadOf(queue.priority()),
                      Overdue.workWithin(queue.pool(), input.Slack));
    input.WorkAhead =
        saturatingAdd(input.WorkAhead, Offered.workAhead(queue.priority()));
  }
  input.OverdueDrain = Overdue.drainTime(
      queue.pool(), queueId(queue), ServiceRate.perSecond(queueId(queue), now));
  input.Salt = std::hash<std::string>()(spec.id());
  return input;
}

/// Returns nothing if a submission is let in: at its turn, after an offer for
/// which room was held, or if there is room behind the accepted work and the
/// turns before it.
std::optional<WorkflowLeader::LateRefusal>
WorkflowLeader::judge(const protocol::WorkflowSpec &spec,
                      const protocol::QueueConfig &queue, Milliseconds timeout,
                      bool offered, Moment at) {
  if (spec.repeats() > 0) {
    return std::nullopt;
  }
  const AdmissionInput input = admissionInput(spec, queue, at.Now);
  const std::uint64_t usable = usableProcessors(Options.Admission, input);
  if (usable == 0 || Waiting.onProbation(queueId(queue))) {
    const auto after = retryAfter(Options.Admission, input);
    return after ? std::optional(LateRefusal{*after}) : std::nullopt;
  }
  Refused.expire(at.Now);
  const TurnRequest request{spec.id(), queue.priority(), estimatedWork(spec)};
  if (const auto left = offered ? std::optional(Milliseconds(0))
                                : Refused.untilTurn(request, at.Now)) {
    if (left->count() > 0) {
      return LateRefusal{*left, "kept"};
    }
    Refused.take(spec.id());
    // What it was told holds unless it would have no value by then.
    const Milliseconds criticalPath =
        longestCriticalPath(remainingCriticalPaths(spec, queue));
    const Milliseconds wait = processingTime(input.WorkAhead, usable);
    if (wait + criticalPath <= LateFactor * (input.Slack + criticalPath)) {
      return std::nullopt;
    }
  }
  const Milliseconds room =
      std::max(Refused.untilRoom(queue.priority(),
                                 {input.WorkAhead, usable,
                                  waitLimit(Options.Admission, input)},
                                 at.Now),
               input.OverdueDrain - Options.Admission.MaxOverdueDrain);
  if (room <= Milliseconds(0)) {
    return std::nullopt;
  }
  const Milliseconds turn = std::max(room, Options.Admission.MinRetryAfter);
  const Milliseconds returns = std::chrono::ceil<std::chrono::seconds>(turn);
  // A turn at which the submission is late would take the room of one that
  // comes then and is on time.
  const bool inTime =
      returns <= input.Slack && (timeout.count() == 0 || returns <= timeout);
  if (inTime && Refused.add(request, at.Now + turn)) {
    return LateRefusal{turn, "given"};
  }
  return LateRefusal{retryDelay(Options.Admission, room, input.Salt)};
}

void WorkflowLeader::submit(const protocol::WorkflowCall &call,
                            const QueueRoute &route, AnswerCallback answer,
                            Moment at) {
  protocol::WorkflowChange accepted;
  protocol::WorkflowSpec &spec = *accepted.mutable_accept()->mutable_spec();
  spec = call.submit();
  spec.set_id(route.Suffix);
  spec.set_queue(queueId(*route.Queue));
  protocol::QueueConfig &queue = *accepted.mutable_accept()->mutable_queue();
  queue = *route.Queue;
  queue.clear_name();
  if (const auto problem = validationError(spec)) {
    answer(answerOf(protocol::VERDICT_INVALID, *problem));
    return;
  }
  const std::size_t leftOut = call.offer() ? call.payload_bytes() : 0;
  if (const auto problem = changeSizeError(accepted.ByteSizeLong() + leftOut)) {
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
  if (const auto after = retryAfterDelay(Options.CallDelay, CallDelay,
                                         std::hash<std::string>()(spec.id()))) {
    Tally.refused(spec.queue());
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", "waited too long"},
              {"queue", spec.queue()},
              {"waited_ms", std::to_string(CallDelay.count())},
              {"retry_after_ms", std::to_string(after->count())}});
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "waited too long");
    refused.set_retry_after_ms(static_cast<std::uint32_t>(after->count()));
    answer(refused);
    return;
  }
  if (!LogRefusal.empty()) {
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", "nothing can be stored"},
              {"queue", spec.queue()},
              {"log", LogRefusal}});
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "nothing can be stored");
    refused.set_retry_after_ms(
        static_cast<std::uint32_t>(Options.LogRefusalRetry.count()));
    answer(refused);
    return;
  }
  if (const PoolFit fit = fitOf(spec, Registry, route.Queue->pool());
      fit != PoolFit::Fits) {
    const std::string reason(nameOf(fit));
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", reason},
              {"queue", spec.queue()},
              {"runners", std::to_string(Registry.runners().size())}});
    answer(answerOf(protocol::VERDICT_REFUSED, reason));
    return;
  }
  const bool offered = Offered.take(spec.id(), route.Queue->priority(),
                                    estimatedWork(spec), at.Now);
  const protocol::ClientAccount *account = accountOf(call);
  const bool excess = isExcess(account, spec, at.Now);
  if (const auto late =
          excess ? judgeExcess(*account, spec, *route.Queue, at.Now)
                 : judge(spec, *route.Queue, Milliseconds(call.timeout_ms()),
                         offered, at)) {
    const std::string reason =
        excess ? "over the account's rate" : "would end late";
    Tally.refused(spec.queue());
    const SizeClass size = Sizes.rank(spec.queue(), estimatedWork(spec));
    countOutcome({spec.queue(), size, OutcomeKind::Refused});
    logEvent(WorkflowEventKind::WorkflowRefused,
             {{"workflow", spec.id()},
              {"reason", reason},
              {"size", std::string(nameOf(size))},
              {"queue", spec.queue()},
              {"configuration", std::to_string(State.config().version())},
              {"steps_waiting", std::to_string(OpenSteps.size())},
              {"retry_after_ms", std::to_string(late->RetryAfter.count())},
              {"turn", late->Turn}});
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, reason);
    refused.set_retry_after_ms(
        static_cast<std::uint32_t>(late->RetryAfter.count()));
    answer(refused);
    return;
  }
  if (call.offer()) {
    if (spec.repeats() == 0) {
      Offered.add(offeredOf(spec, *route.Queue, excess), at.Now);
    }
    answer(answerOf(protocol::VERDICT_SEND_WHOLE));
    return;
  }
  accepted.mutable_accept()->set_at_unix_ms(at.UnixMs);
  accepted.mutable_accept()->set_max_attempts(route.Queue->max_attempts());
  PendingSubmissions[spec.id()].push_back(std::move(answer));
  letIn(spec, *route.Queue, excess);
  Tally.accepted(spec.queue());
  logEvent(WorkflowEventKind::WorkflowAccepted,
           {{"workflow", spec.id()},
            {"queue", spec.queue()},
            {"tasks", std::to_string(taskCount(spec))},
            {"core_ms", std::to_string(estimatedWork(spec))}});
  propose(std::move(accepted));
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
  for (protocol::WorkflowChange &it : configurationChanges(config)) {
    propose(std::move(it));
  }
  PendingCallbacks.push_back(std::move(stored));
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

} // namespace masticwinch::workflow
