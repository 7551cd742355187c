#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace masticwinch {

/// Range and resolution of a histogram whose buckets grow by a constant factor.
/// Values outside the range are counted in the first or the last bucket.
struct HistogramRange {
  /// Lower bound of the range; above 0.
  double Lowest = 0.0001;
  /// Upper bound of the range; above `Lowest`.
  double Highest = 100;
  /// Number of buckets inside the range; above 0.
  unsigned Buckets = 60;
};

/// One bucket as it is exported.
struct HistogramBucket {
  /// Upper bound; infinity for the last one.
  double UpperBound = 0;
  /// Values below the bound, counted from the first bucket on.
  std::uint64_t CumulativeCount = 0;
};

/// Distribution of non-negative values over log-spaced buckets. Safe to record
/// from several threads without a lock.
class Histogram {
public:
  explicit Histogram(HistogramRange range = {});
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  /// Counts one value.
  void record(double value);

  /// Adds all values of another histogram of the same range.
  void merge(const Histogram &other);

  std::uint64_t count() const;
  double sum() const;

  /// All buckets with their cumulative counts; the last bound is infinity.
  std::vector<HistogramBucket> buckets() const;

  /// Upper bound of the bucket that holds the given share of the values, from 0
  /// to 1; 0 if nothing was recorded, `Highest` for values above the range.
  double quantile(double share) const;

private:
  struct Storage;
  std::unique_ptr<Storage> Data;
};

} // namespace masticwinch
