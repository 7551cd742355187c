#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <vector>

namespace masticwinch::placement::internal {

/// Brings the placer's tables into agreement with what workers say.
class Reconciler {
public:
  explicit Reconciler(PlacerState &state) : State(state) {}

  void takeAnswer(WorkerIndex vm, std::uint64_t sequence,
                  const WorkerAnswer &answer);
  void callRefused(WorkerIndex vm, std::uint64_t sequence);
  void callFailed(WorkerIndex vm, std::uint64_t sequence);

  /// Ends every attempt on a worker whose lease ran out.
  void loseWorker(WorkerIndex vm);

  /// Calls to all workers that are due for one.
  std::vector<WorkerCall> makeDueCalls();

private:
  WorkerCall makeCall(WorkerIndex vm);
  TaskIndex findAttempt(WorkerIndex vm, std::uint64_t number) const;
  void takeReport(WorkerIndex vm, const TaskReport &report);
  void takeUnknown(WorkerIndex vm, const TaskReport &report);
  void takeLateEnd(WorkerIndex vm, JobIndex job, const TaskReport &report);
  bool adopt(WorkerIndex vm, JobIndex job, const TaskReport &report);
  void stopOrphan(WorkerIndex vm, const TaskReport &report);
  void finished(TaskIndex attempt);
  void failed(TaskIndex attempt);
  void stopped(TaskIndex attempt, const std::string &checkpoint);
  void endWithRecord(TaskIndex attempt, TaskState end);
  void endAndForget(TaskIndex attempt, TaskState next);
  void closeUnreported(WorkerIndex vm, std::uint64_t sequence, bool renewed,
                       const std::vector<std::uint64_t> &reported);
  void lose(TaskIndex attempt);
  void refused(TaskIndex attempt);
  void putForgetsBack(WorkerIndex vm);
  void restartGang(JobIndex job);
  void scheduleNextCall(WorkerIndex vm);
  void takeCapacity(WorkerIndex vm);

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
