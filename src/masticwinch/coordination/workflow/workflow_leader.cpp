#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"
#include "masticwinch/coordination/workflow/pool_fit.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/record_limits.hpp"
#include "masticwinch/coordination/workflow/workflow_answers.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

std::size_t taskCount(const protocol::WorkflowSpec &spec) {
  std::size_t count = 0;
  for (const protocol::StepSpec &it : spec.steps()) {
    count += it.count();
  }
  return count;
}

OfferedSubmission offeredOf(const protocol::WorkflowSpec &spec,
                            const protocol::QueueConfig &queue) {
  return {spec.id(), queue.priority(), estimatedWork(spec)};
}

protocol::RouteTerms termsOf(const protocol::CellConfig &config,
                             const protocol::QueueConfig &queue) {
  protocol::RouteTerms terms;
  terms.set_host(queue.host());
  terms.set_path_prefix(queue.path_prefix());
  terms.set_timeout_ms(queue.timeout_ms());
  terms.set_key_required(needsKey(config, queue));
  return terms;
}

} // namespace

WorkflowLeader::WorkflowLeader(const WorkflowLeaderOptions &options,
                               const WorkflowState &state, Moment at)
    : Options(options), State(state),
      Registry(options.Runners,
               [this](const StepKey &key) {
                 const protocol::StepSpec *spec = State.findSpec(key);
                 return spec ? RunTerms(needsOf(*spec),
                                        State.find(key.Workflow)->Account)
                             : RunTerms();
               }),
      Advice(options.Advice), Health(options.Health),
      Containment(options.Containment), Turns(options.Turns),
      Overdue(options.Overdue), LedSince(at.Now), Refused(options.Refused) {
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
            Registry.inherit(tasks[i].Runner, {{key, i}, tasks[i].Run},
                             {needs, workflow.Account});
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
  info.CriticalPaths =
      remainingCriticalPaths(workflow.Spec, queue, capOf(workflow.Account));
  info.Work = estimatedWork(workflow.Spec);
  info.Size = Sizes.add(workflow.Spec.queue(), info.Work);
  const std::uint64_t age = at.UnixMs > workflow.AcceptedAtUnixMs
                                ? at.UnixMs - workflow.AcceptedAtUnixMs
                                : 0;
  info.Ranking.Accepted = at.Now - Milliseconds(age);
  info.Ranking.Priority = queue.priority();
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
  answer = [answer = std::move(answer),
            terms = termsOf(State.config(), *route->Queue),
            version =
                State.config().version()](protocol::WorkflowAnswer reply) {
    reply.set_config_version(version);
    *reply.mutable_route() = terms;
    answer(std::move(reply));
  };
  const auto account = identify(call, *route->Queue);
  if (!account) {
    answer(answerOf(protocol::VERDICT_UNAUTHENTICATED,
                    call.api_key().empty() ? "the queue needs an API key"
                                           : "the API key is not known"));
    return;
  }
  switch (call.request_case()) {
  case protocol::WorkflowCall::kSubmit:
    return submit(call, *route, *account, std::move(answer), at);
  case protocol::WorkflowCall::kCancel:
    return cancel(route->Suffix, *account, answer, at);
  default:
    return answerState(*route, *account, answer, at);
  }
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

AdmissionInput WorkflowLeader::admissionInput(
    const protocol::WorkflowSpec &spec, const protocol::QueueConfig &queue,
    const std::string &account, SteadyTime now) const {
  AdmissionInput input;
  const Milliseconds criticalPath =
      longestCriticalPath(remainingCriticalPaths(spec, queue, capOf(account)));
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
std::optional<WorkflowLeader::LateRefusal> WorkflowLeader::judge(
    const protocol::WorkflowSpec &spec, const protocol::QueueConfig &queue,
    const std::string &account, Milliseconds timeout, bool offered, Moment at) {
  if (spec.repeats() > 0) {
    return std::nullopt;
  }
  const AdmissionInput input = admissionInput(spec, queue, account, at.Now);
  if (const auto after =
          retryBelowCap(input, spec, account, queue.priority())) {
    return LateRefusal{*after};
  }
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
    const Milliseconds criticalPath = longestCriticalPath(
        remainingCriticalPaths(spec, queue, capOf(account)));
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
                            const QueueRoute &route, const std::string &account,
                            AnswerCallback answer, Moment at) {
  protocol::WorkflowChange accepted;
  protocol::WorkflowSpec &spec = *accepted.mutable_accept()->mutable_spec();
  spec = call.submit();
  spec.set_id(route.Suffix);
  spec.set_queue(queueId(*route.Queue));
  accepted.mutable_accept()->set_account(account);
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
  if (isForeign(spec.id(), account)) {
    answer(answerOf(protocol::VERDICT_INVALID, "the id is in use"));
    return;
  }
  if (State.find(spec.id())) {
    answer(answerOf(protocol::VERDICT_OK, "accepted before"));
    return;
  }
  if (const auto waiting = PendingSubmissions.find(spec.id());
      waiting != PendingSubmissions.end()) {
    waiting->second.Answers.push_back(std::move(answer));
    return;
  }
  if (EarlyCancels.contains(spec.id(), account, at.Now)) {
    logSubmission(WorkflowEventKind::WorkflowRefused, account,
                  {{"workflow", spec.id()},
                   {"reason", "cancelled before"},
                   {"queue", spec.queue()}});
    answer(answerOf(protocol::VERDICT_REFUSED, "cancelled before"));
    return;
  }
  if (const auto after = retryAfterDelay(Options.CallDelay, CallDelay,
                                         std::hash<std::string>()(spec.id()))) {
    Tally.refused(spec.queue());
    logSubmission(WorkflowEventKind::WorkflowRefused, account,
                  {{"workflow", spec.id()},
                   {"reason", "waited too long"},
                   {"queue", spec.queue()},
                   {"waited_ms", std::to_string(CallDelay.count())},
                   {"retry_after_ms", std::to_string(after->count())}});
    countRefused(account, AccountRefusal::WaitedTooLong);
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "waited too long");
    refused.set_retry_after_ms(static_cast<std::uint32_t>(after->count()));
    answer(refused);
    return;
  }
  if (!LogRefusal.empty()) {
    logSubmission(WorkflowEventKind::WorkflowRefused, account,
                  {{"workflow", spec.id()},
                   {"reason", "nothing can be stored"},
                   {"queue", spec.queue()},
                   {"log", LogRefusal}});
    countRefused(account, AccountRefusal::NotStorable);
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "nothing can be stored");
    refused.set_retry_after_ms(
        static_cast<std::uint32_t>(Options.LogRefusalRetry.count()));
    answer(refused);
    return;
  }
  if (const PoolFit fit =
          fitOf(spec, Registry, route.Queue->pool(), capOf(account));
      fit != PoolFit::Fits) {
    const std::string reason(nameOf(fit));
    logSubmission(WorkflowEventKind::WorkflowRefused, account,
                  {{"workflow", spec.id()},
                   {"reason", reason},
                   {"queue", spec.queue()},
                   {"runners", std::to_string(Registry.runners().size())}});
    countRefused(account, fit == PoolFit::OverAccountLimit
                              ? AccountRefusal::WiderThanLimit
                              : AccountRefusal::DoesNotFit);
    answer(answerOf(protocol::VERDICT_REFUSED, reason));
    return;
  }
  const bool offered = Offered.take(spec.id(), route.Queue->priority(),
                                    estimatedWork(spec), at.Now);
  if (const auto late = judge(spec, *route.Queue, account,
                              Milliseconds(call.timeout_ms()), offered, at)) {
    Tally.refused(spec.queue());
    const SizeClass size = Sizes.rank(spec.queue(), estimatedWork(spec));
    countOutcome({spec.queue(), size, OutcomeKind::Refused});
    logSubmission(WorkflowEventKind::WorkflowRefused, account,
                  {{"workflow", spec.id()},
                   {"reason", "would end late"},
                   {"size", std::string(nameOf(size))},
                   {"queue", spec.queue()},
                   {"configuration", std::to_string(State.config().version())},
                   {"steps_waiting", std::to_string(OpenSteps.size())},
                   {"retry_after_ms", std::to_string(late->RetryAfter.count())},
                   {"turn", late->Turn}});
    countRefused(account, AccountRefusal::WouldEndLate);
    protocol::WorkflowAnswer refused =
        answerOf(protocol::VERDICT_REFUSED, "would end late");
    refused.set_retry_after_ms(
        static_cast<std::uint32_t>(late->RetryAfter.count()));
    answer(refused);
    return;
  }
  if (call.offer()) {
    if (spec.repeats() == 0) {
      Offered.add(offeredOf(spec, *route.Queue), at.Now);
    }
    answer(answerOf(protocol::VERDICT_SEND_WHOLE));
    return;
  }
  accepted.mutable_accept()->set_at_unix_ms(at.UnixMs);
  accepted.mutable_accept()->set_max_attempts(route.Queue->max_attempts());
  PendingSubmissions[spec.id()] = {account, {std::move(answer)}};
  Waiting.letIn(spec, route.Queue->priority(), cappedAccount(account));
  Tally.accepted(spec.queue());
  logSubmission(WorkflowEventKind::WorkflowAccepted, account,
                {{"workflow", spec.id()},
                 {"queue", spec.queue()},
                 {"tasks", std::to_string(taskCount(spec))},
                 {"core_ms", std::to_string(estimatedWork(spec))}});
  countAccepted(account);
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
