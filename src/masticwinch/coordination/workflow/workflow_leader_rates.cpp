#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/workflow_leader.hpp"

#include <algorithm>
#include <limits>

namespace masticwinch::workflow {

/// The account that a call's key belongs to; null if there is none.
const protocol::ClientAccount *
WorkflowLeader::accountOf(const protocol::WorkflowCall &call) const {
  return State.accounts().findByKey(call.api_key());
}

/// Whether a submission is beyond the rate of its account, which is charged for
/// it otherwise. One that recurs is charged and never excess: it begins its
/// work later, and would rank last for as long as it recurs.
bool WorkflowLeader::isExcess(const protocol::ClientAccount *account,
                              const protocol::WorkflowSpec &spec,
                              SteadyTime now) {
  return account != nullptr &&
         Rates.classify(account->name(), account->weight_permille(), spec.id(),
                        now) == RateClass::Excess &&
         spec.repeats() == 0;
}

/// Whether a submission is expected to start at once behind all other work,
/// whatever its priority: the accepted work that waits, offers for which room
/// is held, and refused submissions that have turns.
bool WorkflowLeader::startsAtOnce(const protocol::WorkflowSpec &spec,
                                  const protocol::QueueConfig &queue,
                                  SteadyTime now) const {
  if (Waiting.onProbation(queueId(queue))) {
    return false;
  }
  AdmissionInput input = admissionInput(spec, queue, now);
  const std::uint64_t usable = usableProcessors(Options.Admission, input);
  if (usable == 0 || input.OverdueDrain > Options.Admission.MaxOverdueDrain) {
    return false;
  }
  constexpr std::uint32_t AnyPriority =
      std::numeric_limits<std::uint32_t>::max();
  const std::uint64_t ahead = saturatingAdd(Waiting.aheadOf(AnyPriority),
                                            Offered.workAhead(AnyPriority));
  const LoadAhead load{ahead, usable, waitLimit(Options.Admission, input)};
  const std::uint64_t needed = saturatingAdd(
      firstProcessors(spec), Offered.milliProcessors(queue.pool()));
  return needed <= Spare.spareOf(queue.pool()) &&
         Refused.untilRoom(AnyPriority, load, now) <= Milliseconds(0);
}

/// Returns nothing if a submission beyond the rate of its account is let in.
/// It takes no turns: these are for work that its account is entitled to.
std::optional<WorkflowLeader::LateRefusal> WorkflowLeader::judgeExcess(
    const protocol::ClientAccount &account, const protocol::WorkflowSpec &spec,
    const protocol::QueueConfig &queue, SteadyTime now) {
  Refused.expire(now);
  if (startsAtOnce(spec, queue, now)) {
    return std::nullopt;
  }
  return LateRefusal{
      Rates.refuse(account.name(), account.weight_permille(), spec.id(), now)};
}

/// Counts an accepted submission until it is stored and counted by its steps.
void WorkflowLeader::letIn(const protocol::WorkflowSpec &spec,
                           const protocol::QueueConfig &queue, bool excess) {
  if (excess) {
    ExcessWorkflows.insert(spec.id());
  } else {
    Waiting.letIn(spec, queue.priority());
  }
  if (State.accounts().areDeclared()) {
    Spare.letIn(spec, queue.pool());
  }
}

/// Counts the processors that a waiting step needs. Missed steps rank behind
/// excess, and those kept apart after crashes get runners of their own.
void WorkflowLeader::countDemand(const StepRank &rank, const OpenStep &open,
                                 const protocol::StepSpec &spec,
                                 std::size_t tasks) {
  const std::string &queueName = open.Parent->Spec.queue();
  if (!State.accounts().areDeclared() ||
      rank.Forecast == CompletionForecast::Missed ||
      Waiting.isOnProbation(queueName, spec.gang())) {
    return;
  }
  if (const protocol::QueueConfig *queue = State.findQueue(queueName)) {
    Spare.addWaiting(
        queue->pool(),
        saturatingMultiply(tasks, spec.needs().milli_processors()));
  }
}

void WorkflowLeader::startedDemand(const StepRank &rank,
                                   const std::string &pool,
                                   const protocol::StepSpec &spec,
                                   std::size_t tasks) {
  if (tasks > 0 && State.accounts().areDeclared() &&
      rank.Forecast != CompletionForecast::Missed) {
    Spare.removeStarted(
        pool, saturatingMultiply(tasks, spec.needs().milli_processors()));
  }
}

/// Counts what the usable runners have left after a scheduling pass.
void WorkflowLeader::countSpare(const Fleet &fleet) {
  if (!State.accounts().areDeclared()) {
    return;
  }
  for (const auto &[name, pool] : fleet.Pools) {
    std::uint64_t free = 0;
    for (const RunnerEntry *it : pool.Runners) {
      free +=
          std::uint64_t(std::max<std::int64_t>(it->Free.MilliProcessors, 0));
    }
    Spare.setFree(name, free, pool.MilliProcessors);
  }
}

} // namespace masticwinch::workflow
