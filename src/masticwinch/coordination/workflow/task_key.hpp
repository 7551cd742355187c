#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticwinch::protocol {
class TaskRef;
} // namespace masticwinch::protocol

namespace masticwinch::workflow {

/// Identifies a step of one occurrence of a workflow.
struct StepKey {
  std::string Workflow;
  std::uint32_t Occurrence = 0;
  std::uint32_t Step = 0;

  auto operator<=>(const StepKey &) const = default;
};

/// Identifies a task.
struct TaskKey {
  StepKey Step;
  std::uint32_t Index = 0;

  auto operator<=>(const TaskKey &) const = default;
};

/// Identifies a run of a task; the runs of a task are numbered from 1.
struct RunKey {
  TaskKey Task;
  std::uint32_t Run = 0;

  auto operator<=>(const RunKey &) const = default;
};

TaskKey taskKeyOf(const protocol::TaskRef &ref);
protocol::TaskRef refOf(const TaskKey &key);
protocol::TaskRef refOf(const StepKey &key);

/// Text form for logs, such as `5c0e7a21d94b36f8.0.1.17`: workflow, occurrence,
/// step and, for a task, its index.
std::string textOf(const TaskKey &key);
std::string textOf(const StepKey &key);

} // namespace masticwinch::workflow
