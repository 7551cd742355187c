#include "masticwinch/common/clock.hpp"

#include <cstdlib>
#include <ctime>

namespace masticwinch {

BootClock::time_point BootClock::now() noexcept {
  timespec at{};
  if (clock_gettime(CLOCK_BOOTTIME, &at) != 0) {
    // Without a clock no lease would ever run out.
    std::abort();
  }
  return time_point(std::chrono::seconds(at.tv_sec) +
                    std::chrono::nanoseconds(at.tv_nsec));
}

SteadyTime OperatingSystemClock::now() const { return BootClock::now(); }

SystemTime OperatingSystemClock::systemNow() const {
  return std::chrono::system_clock::now();
}

} // namespace masticwinch
