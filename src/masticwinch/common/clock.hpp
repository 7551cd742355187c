#pragma once

#include <chrono>

namespace masticwinch {

/// Monotonic clock that goes on while the VM is suspended, which that of the
/// standard library does not. It has a type of its own so that its time points
/// can't be passed to a timer of another clock. The names are those that the
/// standard library expects of a clock.
struct BootClock {
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)

  static time_point now() noexcept;
};

/// Time point of `BootClock`; differences are meaningful only within one
/// process.
using SteadyTime = BootClock::time_point;

/// Time point of the wall clock, for event lines and display.
using SystemTime = std::chrono::system_clock::time_point;

/// Duration unit of settings and state machines.
using Milliseconds = std::chrono::milliseconds;

/// Time source, injected wherever a decision depends on the time.
class Clock {
public:
  virtual ~Clock() = default;

  /// Monotonic time, for leases, timeouts and delays.
  virtual SteadyTime now() const = 0;

  /// Wall-clock time; may jump forward or back.
  virtual SystemTime systemNow() const = 0;
};

/// Reads the clocks of the operating system.
class OperatingSystemClock final : public Clock {
public:
  SteadyTime now() const override;
  SystemTime systemNow() const override;
};

} // namespace masticwinch
