#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// A clock that is advanced explicitly, for tests and fuzzing.
class ManualClock final : public Clock {
public:
  SteadyTime now() const override { return Steady; }
  SystemTime systemNow() const override { return System; }

  /// Advances the monotonic and the wall clock.
  void advance(Milliseconds by) {
    Steady += by;
    System += by;
  }

  /// Moves only the wall clock, forward or back.
  void jumpSystem(Milliseconds by) { System += by; }

private:
  SteadyTime Steady{};
  SystemTime System{};
};

} // namespace masticwinch
