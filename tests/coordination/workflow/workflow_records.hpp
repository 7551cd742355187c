#pragma once

#include "masticwinch/coordination/workflow/workflow_state.hpp"

#include <string>
#include <vector>

namespace masticwinch::tests {

/// A step of `count` tasks of one core and 1 GB for a second each.
inline protocol::StepSpec stepOf(std::uint32_t count, bool gang = false) {
  protocol::StepSpec step;
  step.set_count(count);
  step.mutable_needs()->set_milli_processors(1000);
  step.mutable_needs()->set_memory_mb(1024);
  step.set_estimate_ms(1000);
  step.set_gang(gang);
  return step;
}

inline protocol::WorkflowSpec
specOf(const std::string &id, const std::vector<protocol::StepSpec> &steps) {
  protocol::WorkflowSpec spec;
  spec.set_id(id);
  spec.set_queue("sheets");
  spec.set_payload("payload of " + id);
  for (const protocol::StepSpec &it : steps) {
    *spec.add_steps() = it;
  }
  return spec;
}

inline protocol::WorkflowChange acceptOf(const protocol::WorkflowSpec &spec,
                                         std::uint32_t attempts = 2) {
  protocol::WorkflowChange change;
  *change.mutable_accept()->mutable_spec() = spec;
  change.mutable_accept()->set_max_attempts(attempts);
  return change;
}

inline protocol::WorkflowChange assignOf(const workflow::TaskKey &task,
                                         std::uint32_t run,
                                         const std::string &runner) {
  protocol::WorkflowChange change;
  *change.mutable_assign()->mutable_task() = refOf(task);
  change.mutable_assign()->set_run(run);
  change.mutable_assign()->set_runner(runner);
  return change;
}

inline protocol::WorkflowChange endOf(const workflow::TaskKey &task,
                                      std::uint32_t run,
                                      const std::string &runner,
                                      protocol::RunEnd how) {
  protocol::WorkflowChange change;
  *change.mutable_end()->mutable_task() = refOf(task);
  change.mutable_end()->set_run(run);
  change.mutable_end()->set_runner(runner);
  change.mutable_end()->set_how(how);
  return change;
}

inline protocol::WorkflowChange cancelOf(const std::string &id) {
  protocol::WorkflowChange change;
  change.mutable_cancel()->set_id(id);
  return change;
}

/// A configuration with the queue "sheets" at `host/sheets/`, whose pool is
/// "prices".
inline protocol::CellConfig configOf(std::uint64_t version) {
  protocol::CellConfig config;
  config.set_version(version);
  protocol::QueueConfig *queue = config.add_queues();
  queue->set_name("sheets");
  queue->set_host("host");
  queue->set_path_prefix("/sheets/");
  queue->set_pool("prices");
  queue->set_timeout_ms(3000);
  queue->set_latency_target_ms(1000);
  queue->set_stretch_permille(2000);
  queue->set_max_attempts(2);
  config.add_pools()->set_name("prices");
  return config;
}

/// A runner of the pool "prices" with 32 cores and 128 GB.
inline protocol::RunnerInfo runnerOf(const std::string &id) {
  protocol::RunnerInfo info;
  info.set_id(id);
  info.set_pool("prices");
  info.set_address(id + ":80");
  info.mutable_capacity()->set_milli_processors(32'000);
  info.mutable_capacity()->set_memory_mb(131'072);
  info.add_labels("a");
  info.add_labels("rack-1");
  return info;
}

} // namespace masticwinch::tests
