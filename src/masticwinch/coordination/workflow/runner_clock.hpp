#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>

namespace masticwinch::workflow {

/// What is known of a runner's steady clock, which leases are measured on.
class RunnerClock {
public:
  /// A runner's clock may run this much slower than ours, in thousandths; the
  /// platform's bound is 2 %.
  static constexpr std::int64_t MaxSlowdownPermille = 20;

  /// Takes in a reading that was made at `receivedAt` or a little earlier.
  void observe(std::int64_t clockMs, SteadyTime receivedAt) {
    if (!Reading || clockMs >= Reading->ClockMs) {
      Reading = {clockMs, receivedAt};
    }
  }

  bool hasReading() const { return Reading.has_value(); }

  /// The runner's time by our own clock's rate; at most a little ahead of it.
  std::int64_t at(SteadyTime now) const {
    return Reading->ClockMs +
           std::chrono::duration_cast<Milliseconds>(now - Reading->At).count();
  }

  /// When the runner's clock has passed a time for sure.
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
