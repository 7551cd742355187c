#include "masticwinch/coordination/placement/job_progress.hpp"

#include "masticwinch/protocol/placement.pb.h"

#include <algorithm>

namespace masticwinch::placement {

namespace {

/// Index of the first range that begins after the task.
int rangeAfter(const TaskRanges &ranges, std::uint32_t task) {
  const auto it = std::upper_bound(
      ranges.begin(), ranges.end(), task,
      [](std::uint32_t value, const protocol::TaskRange &range) {
        return value < range.first();
      });
  return static_cast<int>(it - ranges.begin());
}

std::uint32_t endOf(const protocol::TaskRange &range) {
  return range.first() + range.count();
}

bool hasEnded(const protocol::JobProgress &progress, std::uint32_t task) {
  return holdsTask(progress.finished(), task) ||
         holdsTask(progress.failed(), task) ||
         holdsTask(progress.unknown(), task) ||
         holdsTask(progress.replaced(), task);
}

template <class Tasks>
void addTasksNotEnded(protocol::JobProgress &progress, TaskRanges &ranges,
                      const Tasks &tasks) {
  for (const std::uint32_t it : tasks) {
    if (!hasEnded(progress, it)) {
      addTask(ranges, it);
    }
  }
}

} // namespace

void addTask(TaskRanges &ranges, std::uint32_t task) {
  if (holdsTask(ranges, task)) {
    return;
  }
  const int after = rangeAfter(ranges, task);
  const bool extendsPrevious =
      after > 0 && endOf(ranges.Get(after - 1)) == task;
  const bool extendsNext =
      after < ranges.size() && ranges.Get(after).first() == task + 1;
  if (extendsPrevious) {
    protocol::TaskRange &before = *ranges.Mutable(after - 1);
    before.set_count(before.count() + 1);
    if (extendsNext) {
      before.set_count(before.count() + ranges.Get(after).count());
      ranges.DeleteSubrange(after, 1);
    }
    return;
  }
  if (extendsNext) {
    protocol::TaskRange &next = *ranges.Mutable(after);
    next.set_first(task);
    next.set_count(next.count() + 1);
    return;
  }
  protocol::TaskRange &added = *ranges.Add();
  added.set_first(task);
  added.set_count(1);
  std::rotate(ranges.begin() + after, ranges.end() - 1, ranges.end());
}

bool holdsTask(const TaskRanges &ranges, std::uint32_t task) {
  const int after = rangeAfter(ranges, task);
  return after > 0 && task < endOf(ranges.Get(after - 1));
}

std::vector<std::uint32_t> tasksOf(const TaskRanges &ranges) {
  std::vector<std::uint32_t> tasks;
  for (const protocol::TaskRange &it : ranges) {
    for (std::uint32_t task = it.first(); task < endOf(it); ++task) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

void applyOutcomes(protocol::JobProgress &progress,
                   const protocol::TaskOutcomes &outcomes,
                   std::uint32_t tasks) {
  addTasksNotEnded(progress, *progress.mutable_finished(), outcomes.finished());
  addTasksNotEnded(progress, *progress.mutable_failed(), outcomes.failed());
  addTasksNotEnded(progress, *progress.mutable_unknown(), outcomes.unknown());
  addTasksNotEnded(progress, *progress.mutable_replaced(), outcomes.replaced());
  addTasksNotEnded(progress, *progress.mutable_started(), outcomes.started());
  for (std::uint32_t it = 0; outcomes.rest_finished() && it < tasks; ++it) {
    if (!hasEnded(progress, it)) {
      addTask(*progress.mutable_finished(), it);
    }
  }
  progress.set_ended(progress.ended() || outcomes.ended());
}

} // namespace masticwinch::placement
