#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <vector>

namespace masticwinch::placement::internal {

/// Reconciles the placer's tables with the reports of the workers.
class Reconciler {
public:
  explicit Reconciler(PlacerState &state) : State(state) {}

  void handleAnswer(WorkerIndex vm, std::uint64_t sequence,
                    const WorkerAnswer &answer);
  void callRefused(WorkerIndex vm, std::uint64_t sequence);
  void callFailed(WorkerIndex vm, std::uint64_t sequence);

  /// Ends every attempt on a worker whose lease has expired.
  void loseWorker(WorkerIndex vm);

  /// Creates the calls to all workers for which one is due.
  std::vector<WorkerCall> makeDueCalls();

private:
  WorkerCall makeCall(WorkerIndex vm);
  TaskIndex findAttempt(WorkerIndex vm, std::uint64_t number) const;
  void handleReport(WorkerIndex vm, const TaskReport &report);
  void handleUnknownAttempt(WorkerIndex vm, const TaskReport &report);
  void handleLateEnd(WorkerIndex vm, JobIndex job, const TaskReport &report);
  bool adopt(WorkerIndex vm, JobIndex job, const TaskReport &report);
  void stopOrphan(WorkerIndex vm, const TaskReport &report);
  void handleFinished(TaskIndex attempt);
  void handleFailed(TaskIndex attempt);
  void handleStopped(TaskIndex attempt, const std::string &checkpoint);
  void endWithRecord(TaskIndex attempt, TaskState end);
  void endAndForget(TaskIndex attempt, TaskState next);
  void closeUnreported(WorkerIndex vm, std::uint64_t sequence,
                       bool newIncarnation,
                       const std::vector<std::uint64_t> &reported);
  void loseAttempt(TaskIndex attempt);
  void handleRefused(TaskIndex attempt);
  void requeueForgets(WorkerIndex vm);
  void restartGang(JobIndex job);
  void scheduleNextCall(WorkerIndex vm);
  void applyAnnouncedCapacity(WorkerIndex vm);

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
