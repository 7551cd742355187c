#pragma once

#include <atomic>

namespace masticwinch {

/// A number that can increase and decrease. Thread-safe.
class Gauge {
public:
  void set(double value) { Current.store(value, std::memory_order_relaxed); }

  /// Adds an amount, which may be negative.
  void add(double amount) {
    Current.fetch_add(amount, std::memory_order_relaxed);
  }

  double value() const { return Current.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Current{0};
};

} // namespace masticwinch
