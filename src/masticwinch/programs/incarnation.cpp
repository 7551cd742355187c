#include "masticwinch/programs/incarnation.hpp"

#include "masticwinch/common/clock.hpp"

namespace masticwinch::programs {

std::uint64_t newIncarnation(const Clock &clock) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          clock.systemNow().time_since_epoch())
          .count());
}

} // namespace masticwinch::programs
