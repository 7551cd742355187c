#include "masticwinch/common/clock.hpp"

namespace masticwinch {

SteadyTime OperatingSystemClock::now() const {
  return std::chrono::steady_clock::now();
}

SystemTime OperatingSystemClock::systemNow() const {
  return std::chrono::system_clock::now();
}

} // namespace masticwinch
