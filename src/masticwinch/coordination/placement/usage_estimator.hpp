#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <cstdint>

namespace masticwinch::placement {

/// Estimates the usage and run time of the tasks of one profile. A task gets
/// less than declared only after many finished tasks used less, and only where
/// the platform enforces limits. When such a task fails, the profile returns to
/// the declared amounts until twice as many tasks as before have finished.
class UsageEstimator {
public:
  /// Records the usage that a worker reported for a running task.
  void observeUsage(const Resources &used);

  /// Records the run time of a finished task.
  void observeFinish(Milliseconds runTime);

  /// Records the failure of a task that got less than it declared.
  void observeShortfall();

  /// Amount for the next task, based on the declared amount. Accelerators are
  /// never changed; memory and processors may be raised up to `limit`.
  Resources amountFor(const Resources &declared, const Resources &limit) const;

  /// Expected run time of the next task; `declared` until enough tasks have
  /// finished.
  Milliseconds runTimeFor(Milliseconds declared) const;

private:
  Resources Peak;
  std::uint32_t Finished = 0;
  std::uint32_t FinishedNeeded = 32;
  std::int64_t MeanRunMs = 0;
  std::int64_t DeviationMs = 0;
};

} // namespace masticwinch::placement
