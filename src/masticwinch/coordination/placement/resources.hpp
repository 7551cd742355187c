#pragma once

#include <compare>
#include <cstdint>

namespace masticwinch::placement {

/// Amounts of each resource that a VM has or a task needs.
struct Resources {
  /// Thousandths of a processor.
  std::int64_t MilliProcessors = 0;
  std::int64_t MemoryMib = 0;
  std::int64_t Accelerators = 0;

  bool operator==(const Resources &) const = default;
  auto operator<=>(const Resources &) const = default;

  Resources &operator+=(const Resources &other);
  Resources &operator-=(const Resources &other);

  /// Whether no amount exceeds that of `other`.
  bool fitsIn(const Resources &other) const;

  bool nonNegative() const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

/// Multiplies each amount. The caller keeps the amounts below
/// `MaxResourceAmount` and the count below `MaxTasksPerJob`.
Resources operator*(const Resources &amount, std::int64_t count);

/// Per-resource maximum.
Resources maxOf(const Resources &left, const Resources &right);

/// Largest share of the total that any of the amounts takes, in millionths. An
/// amount of a resource that the total lacks counts as the whole.
std::int64_t dominantShare(const Resources &amount, const Resources &total);

/// Upper bound on each amount of a request, so that sums can't overflow.
inline constexpr std::int64_t MaxResourceAmount = 1'000'000'000;

inline constexpr std::int64_t MaxTasksPerJob = 100'000;

} // namespace masticwinch::placement
