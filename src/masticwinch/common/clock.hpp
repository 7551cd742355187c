#pragma once

#include <chrono>

namespace masticwinch {

/// A moment on a clock that never goes back; differences are meaningful only
/// within one process.
using SteadyTime = std::chrono::steady_clock::time_point;

/// A moment of wall time, for events and for people.
using SystemTime = std::chrono::system_clock::time_point;

/// A length of time as settings and state machines use it.
using Milliseconds = std::chrono::milliseconds;

/// Source of time, passed in wherever a decision depends on it.
class Clock {
public:
  virtual ~Clock() = default;

  /// Time for leases, timeouts and delays.
  virtual SteadyTime now() const = 0;

  /// Wall time; may jump either way.
  virtual SystemTime systemNow() const = 0;
};

/// Reads the clocks of the operating system.
class OperatingSystemClock final : public Clock {
public:
  SteadyTime now() const override;
  SystemTime systemNow() const override;
};

} // namespace masticwinch
