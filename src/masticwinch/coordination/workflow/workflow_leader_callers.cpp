#include "masticwinch/coordination/workflow/caller_access.hpp"
#include "masticwinch/coordination/workflow/queue_routes.hpp"
#include "masticwinch/coordination/workflow/workflow_answers.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

namespace masticwinch::workflow {

/// Identifies the caller by the configuration that is in force. Returns nothing
/// and counts the call if the queue needs a key and the call has none that is
/// known.
std::optional<std::string>
WorkflowLeader::identify(const protocol::WorkflowCall &call,
                         const protocol::QueueConfig &queue) {
  std::optional<std::string> account =
      authenticate(State, queue, call.api_key());
  if (!account) {
    Unauthenticated.count(queueId(queue), !call.api_key().empty());
  }
  return account;
}

/// The workflow with this id if a caller of the account may access it, else
/// null.
const Workflow *
WorkflowLeader::findAccessible(const std::string &id,
                               const std::string &account) const {
  const Workflow *workflow = State.find(id);
  return workflow && mayAccess(State.config(), workflow->Account, account)
             ? workflow
             : nullptr;
}

/// Whether the id belongs to a workflow, stored or being stored, that a caller
/// of the account may not access.
bool WorkflowLeader::isForeign(const std::string &id,
                               const std::string &account) const {
  if (State.find(id)) {
    return findAccessible(id, account) == nullptr;
  }
  const auto pending = PendingSubmissions.find(id);
  return pending != PendingSubmissions.end() &&
         !mayAccess(State.config(), pending->second.Account, account);
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
                                 const std::string &account,
                                 const AnswerCallback &answer, Moment at) {
  protocol::WorkflowAnswer reply = answerOf(protocol::VERDICT_OK);
  if (route.Suffix.empty()) {
    reply.set_waiting(queuedCount(queueId(*route.Queue), at));
    answer(reply);
    return;
  }
  const Workflow *workflow = findAccessible(route.Suffix, account);
  if (!workflow) {
    answer(answerOf(protocol::VERDICT_NO_WORKFLOW, "no such workflow"));
    return;
  }
  if (workflow->CurrentPhase == Phase::Running) {
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

void WorkflowLeader::cancel(const std::string &id, const std::string &account,
                            const AnswerCallback &answer, Moment at) {
  const Workflow *workflow = State.find(id);
  const bool accepting = PendingSubmissions.contains(id);
  if ((!workflow && !accepting) || isForeign(id, account)) {
    if (!workflow && !accepting) {
      EarlyCancels.add(id, account, at.Now);
    }
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

/// Logs a decision on a submission, with the account it is for if there is one.
void WorkflowLeader::logSubmission(
    WorkflowEventKind kind, const std::string &account,
    std::vector<std::pair<std::string, std::string>> fields) {
  if (!account.empty()) {
    fields.emplace_back("account", account);
  }
  logEvent(kind, std::move(fields));
}

/// Logs how many calls of which queues were refused for lack of a valid key.
void WorkflowLeader::reportUnauthenticated(SteadyTime now) {
  if (now < NextUnauthenticatedReport) {
    return;
  }
  NextUnauthenticatedReport = now + Options.WaitReportInterval;
  for (const auto &[queue, counts] :
       Unauthenticated.take(Options.QueuesPerReport)) {
    logEvent(WorkflowEventKind::CallsUnauthenticated,
             {{"queue", queue},
              {"without_key", std::to_string(counts.WithoutKey)},
              {"unknown_key", std::to_string(counts.UnknownKey)}});
  }
}

} // namespace masticwinch::workflow
