#include "masticwinch/coordination/workflow/waiting_work.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch::workflow {

void WaitingWork::beginCount(std::set<std::string> queuesOnProbation) {
  QueuesOnProbation = std::move(queuesOnProbation);
  ByPriority.clear();
  ByQueueOnProbation.clear();
  for (const auto &[id, submission] : BeingStored) {
    add(submission);
  }
}

bool WaitingWork::isOnProbation(const std::string &queue, bool gang) const {
  return !gang && QueuesOnProbation.contains(queue);
}

std::uint64_t &WaitingWork::sumOf(const std::string &queue,
                                  std::uint32_t priority, bool gang) {
  return isOnProbation(queue, gang) ? ByQueueOnProbation[queue]
                                    : ByPriority[priority];
}

void WaitingWork::addStep(const std::string &queue, std::uint32_t priority,
                          bool gang, std::uint64_t coreMs) {
  std::uint64_t &sum = sumOf(queue, priority, gang);
  sum = saturatingAdd(sum, coreMs);
}

void WaitingWork::removeStarted(const std::string &queue,
                                std::uint32_t priority, bool gang,
                                std::uint64_t coreMs) {
  std::uint64_t &sum = sumOf(queue, priority, gang);
  sum -= std::min(sum, coreMs);
}

void WaitingWork::add(const Submission &submission) {
  for (const bool gang : {false, true}) {
    const std::uint64_t work =
        gang ? submission.GangCoreMs : submission.OtherCoreMs;
    if (work > 0) {
      addStep(submission.Queue, submission.Priority, gang, work);
    }
  }
}

void WaitingWork::letIn(const protocol::WorkflowSpec &spec,
                        std::uint32_t priority) {
  if (spec.repeats() > 0) {
    return;
  }
  Submission &submission = BeingStored[spec.id()];
  submission = {spec.queue(), priority, 0, 0};
  for (const protocol::StepSpec &it : spec.steps()) {
    if (it.after_size() == 0) {
      std::uint64_t &sum =
          it.gang() ? submission.GangCoreMs : submission.OtherCoreMs;
      sum = saturatingAdd(sum, saturatingMultiply(it.count(), taskWork(it)));
    }
  }
  add(submission);
}

std::uint64_t WaitingWork::aheadOf(std::uint32_t priority) const {
  std::uint64_t sum = 0;
  for (const auto &[its, coreMs] : ByPriority) {
    sum = its <= priority ? saturatingAdd(sum, coreMs) : sum;
  }
  return sum;
}

std::optional<std::uint64_t>
WaitingWork::onProbation(const std::string &queue) const {
  const auto it = ByQueueOnProbation.find(queue);
  return it == ByQueueOnProbation.end() ? std::nullopt
                                        : std::optional(it->second);
}

} // namespace masticwinch::workflow
