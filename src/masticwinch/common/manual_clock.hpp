#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// A clock that moves only when told to, for tests and fuzzing.
class ManualClock final : public Clock {
public:
  SteadyTime now() const override { return Steady; }
  SystemTime systemNow() const override { return System; }

  /// Moves both clocks forward.
  void advance(Milliseconds by) {
    Steady += by;
    System += by;
  }

  /// Moves only the wall clock, in either direction.
  void jumpSystem(Milliseconds by) { System += by; }

private:
  SteadyTime Steady{};
  SystemTime System{};
};

} // namespace masticwinch
