#pragma once

#include <cstdint>

namespace masticwinch {
class Clock;
}

namespace masticwinch::programs {

/// A number for this start of the process: microseconds of wall time, so that
/// it grows from one start to the next on a VM whose clock does.
std::uint64_t newIncarnation(const Clock &clock);

} // namespace masticwinch::programs
