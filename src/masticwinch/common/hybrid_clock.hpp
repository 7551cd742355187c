#pragma once

#include "masticwinch/common/clock.hpp"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch {

/// Timestamp of a hybrid logical clock: wall time in milliseconds and a counter
/// that orders events within one millisecond. If one event causes another, its
/// timestamp is lower, even if the wall clocks of the two processes differ.
struct HybridStamp {
  std::uint64_t Millis = 0;
  std::uint32_t Counter = 0;

  auto operator<=>(const HybridStamp &) const = default;

  /// Formats the timestamp as `MILLIS.COUNTER`.
  std::string text() const;

  /// Parses `MILLIS.COUNTER`; `nullopt` if the text is malformed.
  static std::optional<HybridStamp> parse(std::string_view text);
};

/// Hybrid logical clock of a process. Thread-safe.
class HybridClock {
public:
  explicit HybridClock(const Clock &clock) : Source(clock) {}

  /// Returns a new timestamp for a local event or an outgoing message.
  HybridStamp tick();

  /// Advances the clock to at least the timestamp of a received message.
  void observe(HybridStamp remote);

private:
  const Clock &Source;
  std::mutex Mutex;
  HybridStamp Last;
};

} // namespace masticwinch
