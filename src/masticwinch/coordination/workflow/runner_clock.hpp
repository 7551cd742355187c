#pragma once

#include "masticwinch/common/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace masticwinch::workflow {

/// Estimate of a runner's steady clock, in which the lease ends are given.
class RunnerClock {
public:
  /// Maximum amount by which a runner's clock is slower than the local one, in
  /// thousandths; the platform guarantees a bound of 2 %.
  static constexpr std::int64_t MaxSlowdownPermille = 20;

  /// Records a reading of the runner's clock that was taken at `receivedAt` or
  /// slightly earlier.
  void observe(std::int64_t clockMs, SteadyTime receivedAt) {
    if (!Reading || clockMs >= Reading->ClockMs) {
      Reading = {clockMs, receivedAt};
    }
  }

  bool hasReading() const { return Reading.has_value(); }

  /// Estimates the runner's time at `now`, assuming that it runs at the rate of
  /// the local clock; it may be slightly ahead if the runner's clock is slower.
  std::int64_t at(SteadyTime now) const {
    return Reading->ClockMs +
           std::chrono::duration_cast<Milliseconds>(now - Reading->At).count();
  }

  /// How long ago a reading that is received at `now` was taken, as far as
  /// earlier readings show it; 0 if there is none.
  Milliseconds delayOf(std::int64_t clockMs, SteadyTime now) const {
    return Milliseconds(Reading ? std::max<std::int64_t>(at(now) - clockMs, 0)
                                : 0);
  }

  /// The earliest local time by which the runner's clock has certainly passed
  /// `clockMs`, given its maximum slowdown.
  SteadyTime surelyPassedAt(std::int64_t clockMs) const {
    const std::int64_t left = clockMs - Reading->ClockMs;
    return Reading->At +
           Milliseconds(left > 0 ? left * 1000 / (1000 - MaxSlowdownPermille)
                                 : 0);
  }

private:
  struct ClockReading {
    std::int64_t ClockMs;
    SteadyTime At;
  };
  std::optional<ClockReading> Reading;
};

} // namespace masticwinch::workflow
