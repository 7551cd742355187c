#pragma once

#include "masticwinch/coordination/workflow/client_accounts.hpp"
#include "masticwinch/coordination/workflow/task_key.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace masticwinch::workflow {

/// Replicated state machine of the workflows, their runs, the runners and the
/// configuration. Every replica applies the same changes in the same order; the
/// result does not depend on a clock. A change that no longer applies (for
/// example a run that is not the task's latest, or a repeated acceptance) has
/// no effect, so changes may be proposed more than once.
class WorkflowState {
public:
  void apply(const protocol::WorkflowRecord &record);
  void apply(const protocol::WorkflowChange &change);

  protocol::WorkflowSnapshot snapshot() const;
  void restore(const protocol::WorkflowSnapshot &snapshot);

  const protocol::CellConfig &config() const { return Config; }
  /// The queue of a workflow, by its id: as it is configured, or as it was when
  /// it was dropped. Null if no open workflow is known to need it.
  const protocol::QueueConfig *findQueue(const std::string &id) const;
  /// The client accounts of the configuration.
  const ClientAccounts &accounts() const { return Accounts; }
  /// A client account by its name: as it is configured, or without keys as it
  /// was when it was dropped. Null if no open workflow is known to belong to
  /// it.
  const protocol::ClientAccount *findAccount(const std::string &name) const;
  /// Unordered. References to a workflow stay valid until it is forgotten.
  const std::unordered_map<std::string, Workflow> &workflows() const {
    return Workflows;
  }
  const std::map<std::string, protocol::RunnerInfo> &runners() const {
    return Runners;
  }

  const Workflow *find(const std::string &id) const;
  /// Null if the workflow or occurrence is unknown or removed.
  const Task *findTask(const TaskKey &key) const;
  const Step *findStep(const StepKey &key) const;
  /// The step as it was submitted; null if the workflow is unknown.
  const protocol::StepSpec *findSpec(const StepKey &key) const;

  /// Whether all steps that the step depends on are done.
  bool isReady(const StepKey &key) const;

  /// Whether runs are exposed on a life of a runner whose fate isn't known.
  bool hasExposures(const std::string &runner, std::uint64_t bornUnixMs) const;

private:
  void accept(const protocol::AcceptWorkflow &accept);
  void cancel(const std::string &id);
  void assign(const protocol::AssignRun &assign);
  void end(const protocol::EndRun &end);
  void begin(const protocol::BeginOccurrence &begin);
  void configure(const protocol::CellConfig &config);
  void configurePart(const protocol::ConfigurePart &part);
  void record(const protocol::RunnerInfo &info);
  void forget(const protocol::ForgetRunner &forget);
  void expose(const protocol::ExposeRuns &expose);
  void resolve(const protocol::ResolveRunner &resolve);

  void beginOccurrence(Workflow &workflow, std::uint32_t number);
  void recordFailure(Workflow &workflow, const protocol::StepSpec &spec,
                     Step &step, Task &task, std::uint32_t run);
  void recordDone(const protocol::StepSpec &spec, Step &step, Task &task);
  void updateCompletion(Workflow &workflow, std::uint32_t occurrence);
  void indexExposures(const Workflow &workflow);

  void indexQueues();
  void keepQueuesInUse();
  void keepAccountsInUse();

  protocol::CellConfig Config;
  /// Positions in the configuration by queue id and, for workflows that were
  /// accepted by an earlier version of this software, by queue name.
  std::unordered_map<std::string, int> QueuePositions;
  /// Dropped queues by id. Those that no open workflow needs are removed with
  /// the next configuration.
  std::map<std::string, protocol::QueueConfig> DroppedQueues;
  ClientAccounts Accounts;
  /// Dropped accounts by name, without keys. Those that no open workflow
  /// belongs to are removed with the next configuration.
  std::map<std::string, protocol::ClientAccount> DroppedAccounts;
  /// The parts so far of a configuration that isn't complete.
  protocol::ConfigurePart PartialConfig;
  std::unordered_map<std::string, Workflow> Workflows;
  std::map<std::string, protocol::RunnerInfo> Runners;
  /// Tasks with exposures, by runner; derived from these.
  std::map<std::string, std::set<TaskKey>> ExposedTasks;
};

} // namespace masticwinch::workflow
