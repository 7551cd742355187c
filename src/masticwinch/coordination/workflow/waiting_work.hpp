#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/workflow/account_limits.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace masticwinch::workflow {

/// Accepted work that waits for its start, in core-milliseconds, as input of
/// decisions on submissions. Counted anew in each scheduling pass. Submissions
/// count from when they are let in, so that those that arrive between two
/// passes are judged by each other.
class WaitingWork {
public:
  /// Begins a count, with the submissions that are being stored. Steps other
  /// than gangs of queues on probation count for their queue only.
  void beginCount(std::set<std::string> queuesOnProbation);

  /// Whether the work of the queue counts for this queue only.
  bool isOnProbation(const std::string &queue, bool gang) const;

  /// Counts a waiting step.
  void addStep(const std::string &queue, std::uint32_t priority, bool gang,
               std::uint64_t coreMs);

  /// Discounts tasks of a counted step that have been assigned.
  void removeStarted(const std::string &queue, std::uint32_t priority,
                     bool gang, std::uint64_t coreMs);

  /// Counts a waiting step for its account, which has a cap: the time that it
  /// takes on the whole cap.
  void addForAccount(const std::string &account, std::uint32_t priority,
                     const MicrosOnCap &micros);

  /// Discounts tasks of a step that have been assigned.
  void removeForAccount(const std::string &account, std::uint32_t priority,
                        const MicrosOnCap &micros);

  /// The client account of a submission, if it has a cap.
  struct CappedAccount {
    std::string Name;
    protocol::Amounts Cap;
    /// The account is at its cap, so that its work is not ahead of others.
    bool Full = false;
  };

  /// Counts the steps with which a submission begins, until it is stored and
  /// counted by its open steps.
  void letIn(const protocol::WorkflowSpec &spec, std::uint32_t priority,
             const std::optional<CappedAccount> &account = std::nullopt);
  void stored(const std::string &id) { BeingStored.erase(id); }

  /// Work of this priority and of those before it.
  std::uint64_t aheadOf(std::uint32_t priority) const;

  /// How long an account takes on its whole cap for its waiting work of this
  /// priority and of those before it, by the resources that a submission needs;
  /// 0 for an account without a cap.
  Milliseconds waitOf(const std::string &account, std::uint32_t priority,
                      const protocol::WorkflowSpec &spec) const;

  /// Work of a queue on probation; nothing if none of it waits.
  std::optional<std::uint64_t> onProbation(const std::string &queue) const;

private:
  struct Submission {
    std::string Queue;
    std::uint32_t Priority = 0;
    std::uint64_t GangCoreMs = 0;
    std::uint64_t OtherCoreMs = 0;
    std::string Account;
    MicrosOnCap OnCap{};
  };

  std::uint64_t &sumOf(const std::string &queue, std::uint32_t priority,
                       bool gang);
  void add(const Submission &submission);

  std::set<std::string> QueuesOnProbation;
  std::map<std::uint32_t, std::uint64_t> ByPriority;
  std::map<std::string, std::uint64_t> ByQueueOnProbation;
  /// By account and priority.
  std::map<std::string, std::map<std::uint32_t, MicrosOnCap>> ByAccount;
  std::map<std::string, Submission> BeingStored;
};

} // namespace masticwinch::workflow
