#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace masticwinch {

/// Range and resolution of a histogram with exponentially growing buckets.
/// Values outside the range are counted in the first or the last bucket.
struct HistogramRange {
  /// Lower bound of the range; above 0.
  double Lowest = 0.0001;
  /// Upper bound of the range; above `Lowest`.
  double Highest = 100;
  /// Number of buckets inside the range; above 0.
  unsigned Buckets = 60;
};

/// A bucket of a histogram with its cumulative count.
struct HistogramBucket {
  /// Upper bound; infinity for the last bucket.
  double UpperBound = 0;
  /// Number of values below the upper bound, including all lower buckets.
  std::uint64_t CumulativeCount = 0;
};

/// Distribution of non-negative values over logarithmically spaced buckets.
/// Recording is thread-safe and takes no lock.
class Histogram {
public:
  explicit Histogram(HistogramRange range = {});
  ~Histogram();
  Histogram(const Histogram &) = delete;
  Histogram &operator=(const Histogram &) = delete;

  /// Adds a value.
  void record(double value);

  /// Adds all values of another histogram, which must have the same range.
  void merge(const Histogram &other);

  std::uint64_t count() const;
  double sum() const;

  /// All buckets with their cumulative counts; the last bound is infinity.
  std::vector<HistogramBucket> buckets() const;

  /// Upper bound of the bucket that contains the quantile `share`, from 0 to 1.
  /// 0 if nothing was recorded; `Highest` if the quantile is above the range.
  double quantile(double share) const;

private:
  struct Storage;
  std::unique_ptr<Storage> Data;
};

} // namespace masticwinch
