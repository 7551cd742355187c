#pragma once

#include "masticwinch/common/clock.hpp"

#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace masticwinch {

/// A reading of a hybrid logical clock: wall time in milliseconds and a counter
/// that orders events within one millisecond. If one event caused another, its
/// stamp is lower, however the wall clocks of the two processes differ.
struct HybridStamp {
  std::uint64_t Millis = 0;
  std::uint32_t Counter = 0;

  auto operator<=>(const HybridStamp &) const = default;

  /// Text form, `MILLIS.COUNTER`.
  std::string text() const;

  /// Reads the text form.
  static std::optional<HybridStamp> parse(std::string_view text);
};

/// Hybrid logical clock of one process. Safe to use from several threads.
class HybridClock {
public:
  explicit HybridClock(const Clock &clock) : Source(clock) {}

  /// Stamp for an event of this process or a message that it sends.
  HybridStamp tick();

  /// Takes in the stamp of a received message.
  void observe(HybridStamp remote);

private:
  const Clock &Source;
  std::mutex Mutex;
  HybridStamp Last;
};

} // namespace masticwinch
