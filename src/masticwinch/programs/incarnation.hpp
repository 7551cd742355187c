#pragma once

#include <cstdint>

namespace masticwinch {
class Clock;
}

namespace masticwinch::programs {

/// Creates the incarnation number of a process: the wall time in microseconds.
/// It increases with each start on a VM unless the wall clock goes back.
std::uint64_t newIncarnation(const Clock &clock);

} // namespace masticwinch::programs
