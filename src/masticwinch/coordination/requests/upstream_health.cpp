#include "masticwinch/coordination/requests/upstream_health.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

/// Weight of the newest sample in the moving averages.
constexpr double SmoothingFactor = 0.1;

/// Multiplier of the failure share in the expected cost of an upstream: at a
/// failure share of 1, an upstream is rated as 11 times as slow.
constexpr double FailurePenalty = 10;

double updatedMean(double mean, double value) {
  return mean + SmoothingFactor * (value - mean);
}

double firstOrUpdatedMean(double mean, double value) {
  return mean == 0 ? value : updatedMean(mean, value);
}

} // namespace

void UpstreamHealth::setPresent(const UpstreamIncarnation &upstream) {
  if (!isPresent(upstream)) {
    Record &record = Records[upstream.Name];
    record = {};
    record.Incarnation = upstream.Incarnation;
  }
}

void UpstreamHealth::remove(const std::string &upstream) {
  Records.erase(upstream);
}

bool UpstreamHealth::isPresent(const UpstreamIncarnation &upstream) const {
  const auto found = Records.find(upstream.Name);
  return found != Records.end() &&
         found->second.Incarnation == upstream.Incarnation;
}

UpstreamHealth::Record *
UpstreamHealth::find(const UpstreamIncarnation &upstream) {
  return isPresent(upstream) ? &Records.at(upstream.Name) : nullptr;
}

void UpstreamHealth::recordSuccess(const UpstreamIncarnation &upstream,
                                   SteadyTime::duration serviceTime) {
  Record *known = find(upstream);
  if (known == nullptr) {
    return;
  }
  Record &record = *known;
  const double millis =
      std::chrono::duration<double, std::milli>(serviceTime).count();
  record.MeanMillis = firstOrUpdatedMean(record.MeanMillis, millis);
  MeanMillis = firstOrUpdatedMean(MeanMillis, millis);
  record.FailureShare = updatedMean(record.FailureShare, 0);
  record.Results += 1;
  record.FailureStreak = 0;
  if (record.Ejected) {
    record.Ejected = false;
    record.FailureShare = 0;
    record.Results = 0;
  } else if (record.Results > Rules.MinResults) {
    record.Ejections = 0;
  }
}

void UpstreamHealth::recordFailure(const UpstreamIncarnation &upstream,
                                   SteadyTime now) {
  Record *known = find(upstream);
  if (known == nullptr) {
    return;
  }
  Record &record = *known;
  record.FailureShare = updatedMean(record.FailureShare, 1);
  record.Results += 1;
  record.FailureStreak += 1;
  if (record.Ejected && record.EjectedUntil <= now) {
    eject(record, now);
  } else if (!record.Ejected && shouldEject(record)) {
    eject(record, now);
  }
}

void UpstreamHealth::retractFailure(const UpstreamIncarnation &upstream) {
  if (Record *record = find(upstream)) {
    record->FailureStreak -= std::min(record->FailureStreak, 1U);
    record->FailureShare = updatedMean(record->FailureShare, 0);
  }
}

bool UpstreamHealth::shouldEject(const Record &record) const {
  const bool failing = record.FailureStreak >= Rules.ConsecutiveFailures ||
                       (record.Results >= Rules.MinResults &&
                        record.FailureShare >= Rules.FailureShare);
  const double allowed = std::max(1.0, Rules.MaxEjectedShare *
                                           static_cast<double>(Records.size()));
  return failing && Records.size() > 1 &&
         static_cast<double>(ejectedCount() + 1) <= allowed;
}

void UpstreamHealth::eject(Record &record, SteadyTime now) const {
  constexpr unsigned MaxDoublings = 10;
  const Milliseconds length =
      Rules.FirstEjection * (1U << std::min(record.Ejections, MaxDoublings));
  record.Ejected = true;
  record.Ejections += 1;
  record.EjectedUntil = now + std::min(length, Rules.LongestEjection);
}

bool UpstreamHealth::isAvailable(const std::string &upstream,
                                 std::uint32_t inUse, SteadyTime now) const {
  const auto found = Records.find(upstream);
  if (found == Records.end() || !found->second.Ejected) {
    return true;
  }
  return found->second.EjectedUntil <= now && inUse == 0;
}

bool UpstreamHealth::isEjected(const std::string &upstream) const {
  const auto found = Records.find(upstream);
  return found != Records.end() && found->second.Ejected;
}

double UpstreamHealth::expectedCost(const std::string &upstream,
                                    std::uint32_t inUse) const {
  const auto found = Records.find(upstream);
  const double load = 1.0 + inUse;
  if (found == Records.end()) {
    return load * MeanMillis;
  }
  const Record &record = found->second;
  const double millis = record.MeanMillis == 0 ? MeanMillis : record.MeanMillis;
  return load * millis * (1 + FailurePenalty * record.FailureShare);
}

std::size_t UpstreamHealth::ejectedCount() const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [](const auto &it) { return it.second.Ejected; }));
}

} // namespace masticwinch
