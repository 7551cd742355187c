#include "masticwinch/coordination/placement/usage_estimator.hpp"

#include <algorithm>
#include <cstdlib>

namespace masticwinch::placement {

namespace {

constexpr std::uint32_t MaxFinishedNeeded = 1U << 20U;
constexpr std::uint32_t RunTimesNeeded = 8;
constexpr std::int64_t AveragingWeight = 8;

/// Peak usage plus a margin of a quarter. Exceeds the declared amount only if
/// the peak did, and is below it only if `mayShrink`.
std::int64_t withMargin(std::int64_t peak, std::int64_t declared,
                        std::int64_t limit, bool mayShrink) {
  const std::int64_t wanted = peak + peak / 4;
  if (peak > declared) {
    return std::min(wanted, std::max(declared, limit));
  }
  return mayShrink ? std::min(wanted, declared) : declared;
}

} // namespace

void UsageEstimator::observeUsage(const Resources &used) {
  Peak = maxOf(Peak, used);
}

void UsageEstimator::observeFinish(Milliseconds runTime) {
  Finished = std::min(Finished + 1, MaxFinishedNeeded);
  const std::int64_t sample = runTime.count();
  if (Finished == 1) {
    MeanRunMs = sample;
    return;
  }
  const std::int64_t error = sample - MeanRunMs;
  MeanRunMs += error / AveragingWeight;
  DeviationMs += (std::abs(error) - DeviationMs) / AveragingWeight;
}

void UsageEstimator::observeShortfall() {
  Finished = 0;
  FinishedNeeded = std::min(2 * FinishedNeeded, MaxFinishedNeeded);
}

Resources UsageEstimator::amountFor(const Resources &declared,
                                    const Resources &limit) const {
  const bool mayShrink = Finished >= FinishedNeeded;
  Resources amount = declared;
  if (Peak.MilliProcessors > 0) {
    amount.MilliProcessors =
        withMargin(Peak.MilliProcessors, declared.MilliProcessors,
                   limit.MilliProcessors, mayShrink);
  }
  if (Peak.MemoryMib > 0) {
    amount.MemoryMib = withMargin(Peak.MemoryMib, declared.MemoryMib,
                                  limit.MemoryMib, mayShrink);
  }
  return amount;
}

Milliseconds UsageEstimator::runTimeFor(Milliseconds declared) const {
  if (Finished < RunTimesNeeded) {
    return declared;
  }
  return Milliseconds(MeanRunMs + 2 * DeviationMs);
}

} // namespace masticwinch::placement
