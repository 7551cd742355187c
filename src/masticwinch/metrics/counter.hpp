#pragma once

#include <atomic>
#include <cstdint>

namespace masticwinch {

/// A monotonically increasing number. Thread-safe; an addition is one relaxed
/// atomic operation.
class Counter {
public:
  void add(std::uint64_t amount = 1) {
    Total.fetch_add(amount, std::memory_order_relaxed);
  }

  std::uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Total{0};
};

} // namespace masticwinch
