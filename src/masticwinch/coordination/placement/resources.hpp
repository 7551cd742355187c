#pragma once

#include <compare>
#include <cstdint>

namespace masticwinch::placement {

/// Amounts of what a VM has or a task needs, in the smallest unit.
struct Resources {
  /// Thousandths of a processor.
  std::int64_t MilliProcessors = 0;
  std::int64_t MemoryMib = 0;
  std::int64_t Accelerators = 0;

  bool operator==(const Resources &) const = default;
  auto operator<=>(const Resources &) const = default;

  Resources &operator+=(const Resources &other);
  Resources &operator-=(const Resources &other);

  /// Whether every amount is at most the other's.
  bool fitsIn(const Resources &other) const;

  /// Whether no amount is below zero.
  bool nonNegative() const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/// The amounts taken `count` times. The caller keeps the amounts below
/// `MaxResourceAmount` and the count below `MaxTasksPerJob`.
Resources operator*(const Resources &amount, std::int64_t count);

/// Larger of the two in each amount.
Resources maxOf(const Resources &left, const Resources &right);

/// Largest share, in millionths, that any of the amounts takes of the total.
/// An amount that the total lacks counts as a whole.
std::int64_t dominantShare(const Resources &amount, const Resources &total);

/// No single amount of a request may be larger, so that sums can't overflow.
inline constexpr std::int64_t MaxResourceAmount = 1'000'000'000;

/// No job may ask for more tasks.
inline constexpr std::int64_t MaxTasksPerJob = 100'000;

} // namespace masticwinch::placement
