#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

namespace masticwinch::placement::internal {

/// What time brings about, apart from placing: ends of back-offs and
/// ejections, the work of cancellations, and the release of earlier jobs.
class Maintenance {
public:
  explicit Maintenance(PlacerState &state) : State(state) {}

  void run();

  /// Lets earlier jobs be placed, once no earlier lease can still run.
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
