#pragma once

#include <chrono>

namespace masticwinch {

/// Time point of a monotonic clock; differences are meaningful only within one
/// process.
using SteadyTime = std::chrono::steady_clock::time_point;

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
