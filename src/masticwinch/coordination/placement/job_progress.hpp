#pragma once

#include <cstdint>
#include <vector>

namespace google::protobuf {
template <class Element> class RepeatedPtrField;
}

namespace masticwinch::protocol {
class JobProgress;
class TaskOutcomes;
class TaskRange;
} // namespace masticwinch::protocol

namespace masticwinch::placement {

using TaskRanges = google::protobuf::RepeatedPtrField<protocol::TaskRange>;

/// Adds a task to sorted ranges and merges adjacent ranges. Idempotent.
void addTask(TaskRanges &ranges, std::uint32_t task);

/// Whether one of the sorted ranges contains the task.
bool holdsTask(const TaskRanges &ranges, std::uint32_t task);

/// All tasks in the ranges, in order.
std::vector<std::uint32_t> tasksOf(const TaskRanges &ranges);

/// Merges outcomes into the durable progress of a job with `tasks` tasks.
/// Idempotent; a task that has ended keeps its first outcome.
void applyOutcomes(protocol::JobProgress &progress,
                   const protocol::TaskOutcomes &outcomes, std::uint32_t tasks);

} // namespace masticwinch::placement
