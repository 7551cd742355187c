#include "masticwinch/coordination/placement/resources.hpp"

#include <algorithm>

namespace masticwinch::placement {

namespace {

constexpr std::int64_t Million = 1'000'000;

std::int64_t shareOf(std::int64_t amount, std::int64_t total) {
  if (amount <= 0) {
    return 0;
  }
  if (total <= 0) {
    return Million;
  }
  return amount * Million / total;
}

} // namespace

Resources &Resources::operator+=(const Resources &other) {
  MilliProcessors += other.MilliProcessors;
  MemoryMib += other.MemoryMib;
  Accelerators += other.Accelerators;
  return *this;
}

Resources &Resources::operator-=(const Resources &other) {
  MilliProcessors -= other.MilliProcessors;
  MemoryMib -= other.MemoryMib;
  Accelerators -= other.Accelerators;
  return *this;
}

bool Resources::fitsIn(const Resources &other) const {
  return MilliProcessors <= other.MilliProcessors &&
         MemoryMib <= other.MemoryMib && Accelerators <= other.Accelerators;
}

bool Resources::nonNegative() const {
  return MilliProcessors >= 0 && MemoryMib >= 0 && Accelerators >= 0;
}

Resources operator+(Resources left, const Resources &right) {
  return left += right;
}

Resources operator-(Resources left, const Resources &right) {
  return left -= right;
}

Resources operator*(const Resources &amount, std::int64_t count) {
  return {amount.MilliProcessors * count, amount.MemoryMib * count,
          amount.Accelerators * count};
}

Resources maxOf(const Resources &left, const Resources &right) {
  return {std::max(left.MilliProcessors, right.MilliProcessors),
          std::max(left.MemoryMib, right.MemoryMib),
          std::max(left.Accelerators, right.Accelerators)};
}

std::int64_t dominantShare(const Resources &amount, const Resources &total) {
  return std::max({shareOf(amount.MilliProcessors, total.MilliProcessors),
                   shareOf(amount.MemoryMib, total.MemoryMib),
                   shareOf(amount.Accelerators, total.Accelerators)});
}

} // namespace masticwinch::placement
