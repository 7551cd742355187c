#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <set>

namespace masticwinch::placement::internal {

/// Moves work off VMs that operators drain: a service task stops once its
/// replacement runs, work with checkpoints is stopped and resumes elsewhere,
/// and other work runs to its end.
class Drainer {
public:
  explicit Drainer(PlacerState &state) : State(state) {}

  void run();

  /// Removes replacements that are no longer needed once the drain of the VM
  /// has ended.
  void drainEnded(WorkerIndex vm);

private:
  void replaceService(JobIndex job);
  void trimWaiting(JobIndex job, std::size_t surplus);
  bool onDrainingVm(TaskIndex attempt) const;

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
