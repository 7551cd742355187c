#include "masticwinch/coordination/workflow/waiting_work.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/account_limits.hpp"
#include "masticwinch/coordination/workflow/admission.hpp"
#include "masticwinch/coordination/workflow/critical_path.hpp"

#include <algorithm>
#include <utility>

namespace masticwinch::workflow {

namespace {

void addTo(MicrosOnCap &sum, const MicrosOnCap &micros) {
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum[i] = saturatingAdd(sum[i], micros[i]);
  }
}

} // namespace

void WaitingWork::beginCount(std::set<std::string> queuesOnProbation) {
  QueuesOnProbation = std::move(queuesOnProbation);
  ByPriority.clear();
  ByQueueOnProbation.clear();
  ByAccount.clear();
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

void WaitingWork::addForAccount(const std::string &account,
                                std::uint32_t priority,
                                const MicrosOnCap &micros) {
  addTo(ByAccount[account][priority], micros);
}

void WaitingWork::removeForAccount(const std::string &account,
                                   std::uint32_t priority,
                                   const MicrosOnCap &micros) {
  MicrosOnCap &sum = ByAccount[account][priority];
  for (std::size_t i = 0; i < sum.size(); ++i) {
    sum[i] -= std::min(sum[i], micros[i]);
  }
}

Milliseconds WaitingWork::waitOf(const std::string &account,
                                 std::uint32_t priority,
                                 const protocol::WorkflowSpec &spec) const {
  const auto found = ByAccount.find(account);
  if (found == ByAccount.end()) {
    return Milliseconds(0);
  }
  MicrosOnCap micros{};
  for (const auto &[its, sum] : found->second) {
    if (its <= priority) {
      addTo(micros, sum);
    }
  }
  return std::min(Milliseconds(longestOf(micros, spec) / 1000), LongestWait);
}

void WaitingWork::add(const Submission &submission) {
  if (!submission.Account.empty()) {
    addForAccount(submission.Account, submission.Priority, submission.OnCap);
  }
  for (const bool gang : {false, true}) {
    const std::uint64_t work =
        gang ? submission.GangCoreMs : submission.OtherCoreMs;
    if (work > 0) {
      addStep(submission.Queue, submission.Priority, gang, work);
    }
  }
}

void WaitingWork::letIn(const protocol::WorkflowSpec &spec,
                        std::uint32_t priority,
                        const std::optional<CappedAccount> &account) {
  if (spec.repeats() > 0) {
    return;
  }
  Submission &submission = BeingStored[spec.id()];
  submission = {spec.queue(), priority, 0, 0, account ? account->Name : "", {}};
  for (const protocol::StepSpec &it : spec.steps()) {
    if (it.after_size() > 0) {
      continue;
    }
    if (account) {
      addTo(submission.OnCap, microsOnCap(it, it.count(), account->Cap));
    }
    if (!account || !account->Full) {
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
