#pragma once

#include <cstdint>

namespace masticwinch::workflow {

/// Returns the number of a leader's first order to an entry VM. The numbers of
/// different terms differ, so that an answer which arrives late is not taken
/// for that to an order of a later term.
constexpr std::uint64_t firstOrderOf(std::uint64_t term) {
  constexpr int OrderBits = 32;
  return (term << OrderBits) + 1;
}

} // namespace masticwinch::workflow
