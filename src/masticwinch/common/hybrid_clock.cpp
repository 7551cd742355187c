#include "masticwinch/common/hybrid_clock.hpp"

#include <algorithm>
#include <charconv>

namespace masticwinch {

std::string HybridStamp::text() const {
  return std::to_string(Millis) + "." + std::to_string(Counter);
}

std::optional<HybridStamp> HybridStamp::parse(std::string_view text) {
  HybridStamp stamp;
  const char *end = text.data() + text.size();
  auto [millisEnd, ec] = std::from_chars(text.data(), end, stamp.Millis);
  if (ec != std::errc() || millisEnd == end || *millisEnd != '.') {
    return std::nullopt;
  }
  auto [counterEnd, ec2] = std::from_chars(millisEnd + 1, end, stamp.Counter);
  if (ec2 != std::errc() || counterEnd != end) {
    return std::nullopt;
  }
  return stamp;
}

HybridStamp HybridClock::tick() {
  const auto wall = std::chrono::duration_cast<Milliseconds>(
      Source.systemNow().time_since_epoch());
  const auto millis =
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.count()));
  std::lock_guard lock(Mutex);
  if (millis > Last.Millis) {
    Last = {millis, 0};
  } else {
    ++Last.Counter;
  }
  return Last;
}

void HybridClock::observe(HybridStamp remote) {
  std::lock_guard lock(Mutex);
  Last = std::max(Last, remote);
}

} // namespace masticwinch
