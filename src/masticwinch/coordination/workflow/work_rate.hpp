#pragma once

#include "masticwinch/common/clock.hpp"

#include <chrono>
#include <cmath>
#include <cstdint>

namespace masticwinch::workflow {

/// Rate at which work arrives, averaged with exponentially decaying weights.
class WorkRate {
public:
  /// Time constant of the average: shorter than a burst, and longer than the
  /// gaps between large submissions.
  static constexpr Milliseconds TimeConstant{2000};

  /// Adds work, in core-milliseconds.
  void add(std::uint64_t work, SteadyTime now) {
    Sum = decayed(now) + static_cast<double>(work);
    At = now;
  }

  /// Average rate, in thousandths of a core.
  std::uint64_t milliProcessors(SteadyTime now) const {
    return static_cast<std::uint64_t>(decayed(now) * 1000 /
                                      double(TimeConstant.count()));
  }

private:
  double decayed(SteadyTime now) const {
    const std::chrono::duration<double, std::milli> age = now - At;
    return Sum * std::exp(-age.count() / double(TimeConstant.count()));
  }

  double Sum = 0;
  SteadyTime At{};
};

} // namespace masticwinch::workflow
