#include "masticwinch/coordination/requests/upstream_health.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

/// Weight of the newest result in moving means.
constexpr double NewestWeight = 0.1;

/// Each recent failure makes an upstream look this many times slower.
constexpr double FailurePenalty = 10;

double moved(double mean, double value) {
  return mean + NewestWeight * (value - mean);
}

double movedOrFirst(double mean, double value) {
  return mean == 0 ? value : moved(mean, value);
}

} // namespace

void UpstreamHealth::reset(const std::string &upstream) {
  Records[upstream] = {};
}

void UpstreamHealth::forget(const std::string &upstream) {
  Records.erase(upstream);
}

void UpstreamHealth::succeeded(const std::string &upstream,
                               SteadyTime::duration took) {
  Record &record = Records[upstream];
  const double millis = std::chrono::duration<double, std::milli>(took).count();
  record.MeanMillis = movedOrFirst(record.MeanMillis, millis);
  MeanMillis = movedOrFirst(MeanMillis, millis);
  record.FailureShare = moved(record.FailureShare, 0);
  record.Results += 1;
  record.FailuresInRow = 0;
  if (record.Ejected) {
    record.Ejected = false;
    record.FailureShare = 0;
    record.Results = 0;
  } else if (record.Results > Rules.MinResults) {
    record.Ejections = 0;
  }
}

void UpstreamHealth::failed(const std::string &upstream, SteadyTime now) {
  Record &record = Records[upstream];
  record.FailureShare = moved(record.FailureShare, 1);
  record.Results += 1;
  record.FailuresInRow += 1;
  if (record.Ejected && record.EjectedUntil <= now) {
    eject(record, now);
  } else if (!record.Ejected && shouldEject(record)) {
    eject(record, now);
  }
}

void UpstreamHealth::pardon(const std::string &upstream) {
  Record &record = Records[upstream];
  record.FailuresInRow -= std::min(record.FailuresInRow, 1U);
  record.FailureShare = moved(record.FailureShare, 0);
}

bool UpstreamHealth::shouldEject(const Record &record) const {
  const bool failing = record.FailuresInRow >= Rules.ConsecutiveFailures ||
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

bool UpstreamHealth::mayUse(const std::string &upstream, std::uint32_t inUse,
                            SteadyTime now) const {
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

double UpstreamHealth::score(const std::string &upstream,
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
