#include "masticwinch/metrics/histogram.hpp"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <atomic>
#include <cmath>
#include <limits>

namespace masticwinch {

namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using BucketCount = bh::accumulators::count<std::uint64_t, true>;
using BoostHistogram = decltype(bh::make_histogram_with(
    bh::dense_storage<BucketCount>(), std::declval<Axis>()));

} // namespace

struct Histogram::Storage {
  explicit Storage(HistogramRange range)
      : Highest(range.Highest),
        Counts(bh::make_histogram_with(
            bh::dense_storage<BucketCount>(),
            Axis(range.Buckets, range.Lowest, Highest))) {}

  int lastBucket() const { return Counts.axis(0).size(); }

  double Highest;
  BoostHistogram Counts;
  std::atomic<double> Sum{0};
};

Histogram::Histogram(HistogramRange range)
    : Data(std::make_unique<Storage>(range)) {}

Histogram::~Histogram() = default;

void Histogram::record(double value) {
  // The logarithm of zero is undefined; any value below the range is counted in
  // the same bucket.
  Data->Counts(value > 0 ? value : std::numeric_limits<double>::min());
  Data->Sum.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::merge(const Histogram &other) {
  Data->Counts += other.Data->Counts;
  Data->Sum.fetch_add(other.sum(), std::memory_order_relaxed);
}

std::uint64_t Histogram::count() const {
  return buckets().back().CumulativeCount;
}

double Histogram::sum() const {
  return Data->Sum.load(std::memory_order_relaxed);
}

std::vector<HistogramBucket> Histogram::buckets() const {
  std::vector<HistogramBucket> all;
  std::uint64_t total = 0;
  for (int i = -1; i <= Data->lastBucket(); ++i) {
    total += Data->Counts.at(i).value();
    all.push_back({Data->Counts.axis(0).bin(i).upper(), total});
  }
  all.back().UpperBound = std::numeric_limits<double>::infinity();
  return all;
}

double Histogram::quantile(double share) const {
  const std::vector<HistogramBucket> all = buckets();
  const std::uint64_t total = all.back().CumulativeCount;
  if (total == 0) {
    return 0;
  }
  const double rank = std::max(1.0, std::ceil(share * double(total)));
  for (const HistogramBucket &it : all) {
    if (double(it.CumulativeCount) >= rank) {
      return std::min(it.UpperBound, Data->Highest);
    }
  }
  return Data->Highest;
}

} // namespace masticwinch
