#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <set>

namespace masticwinch::placement::internal {

/// Empties VMs that operators drain: services get a replacement running before
/// they stop, work with checkpoints moves, and other work runs to its end.
class Drainer {
public:
  explicit Drainer(PlacerState &state) : State(state) {}

  void run();

  /// Takes back replacements that are no longer needed.
  void drainEnded(WorkerIndex vm);

private:
  void replaceService(JobIndex job);
  void trimWaiting(JobIndex job, std::size_t surplus);
  bool onDrainingVm(TaskIndex attempt) const;

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
