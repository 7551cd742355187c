#pragma once

#include <cstdint>
#include <limits>

namespace masticwinch {

/// The sum, or the largest number if the sum doesn't fit.
constexpr std::uint64_t saturatingAdd(std::uint64_t a, std::uint64_t b) {
  std::uint64_t sum = 0;
  return __builtin_add_overflow(a, b, &sum)
             ? std::numeric_limits<std::uint64_t>::max()
             : sum;
}

/// The product, or the largest number if the product doesn't fit.
constexpr std::uint64_t saturatingMultiply(std::uint64_t a, std::uint64_t b) {
  std::uint64_t product = 0;
  return __builtin_mul_overflow(a, b, &product)
             ? std::numeric_limits<std::uint64_t>::max()
             : product;
}

} // namespace masticwinch
