#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <cstdint>

namespace masticwinch::placement {

/// Learns, for the tasks of one profile, what they take and how long they run.
/// A task is given less than declared only after many finished ones agreed, and
/// only where the platform enforces the limit; the first that hits the limit
/// sends the profile back to what was declared, for twice as many tasks.
class UsageEstimator {
public:
  /// Usage that a worker reported for a running task.
  void observeUsage(const Resources &used);

  /// A task finished after running that long.
  void observeFinish(Milliseconds runTime);

  /// A task failed that had been given less than was declared.
  void observeShortfall();

  /// What the next task is given, of what was declared. Accelerators are never
  /// changed; memory and processors may be raised up to `limit`.
  Resources amountFor(const Resources &declared, const Resources &limit) const;

  /// How long the next task is expected to run; `declared` until enough ran.
  Milliseconds runTimeFor(Milliseconds declared) const;

private:
  Resources Peak;
  std::uint32_t Finished = 0;
  std::uint32_t FinishedNeeded = 32;
  std::int64_t MeanRunMs = 0;
  std::int64_t DeviationMs = 0;
};

} // namespace masticwinch::placement
