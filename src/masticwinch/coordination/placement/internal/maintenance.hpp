#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

namespace masticwinch::placement::internal {

/// Time-driven work of a step other than placement: ends back-offs and
/// ejections, cancels tasks, and releases the jobs of earlier leaders.
class Maintenance {
public:
  explicit Maintenance(PlacerState &state) : State(state) {}

  void run();

  /// Releases the jobs of earlier leaders for placement, once none of those
  /// leaders' leases can still be valid.
  void releaseWithheld();

private:
  void endBackOffsAndEjections();
  void releaseRecords();
  void cancelTasks();
  void restartGangs();
  void release(JobIndex job);

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
