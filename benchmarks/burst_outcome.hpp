#pragma once

#include "benchmarks/burst_options.hpp"
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <vector>

namespace masticwinch::benchmarks {

/// What came out of runs of the burst model, summed over seeds.
struct BurstOutcome {
  /// Core-seconds of work that ended in each half second from the beginning of
  /// the warm-up: whole if on time, a fifth if late, nothing if too late.
  std::vector<double> Goodput;
  /// Jobs that ended on time, in the same half seconds.
  std::vector<double> JobsOnTime;
  /// Core-seconds of the leader before and after the burst.
  double LeaderBusyBefore = 0;
  double LeaderBusyAfter = 0;
  /// Core-seconds of runs whose result nobody could use.
  double ThrownAway = 0;
  std::size_t Refused = 0;
  std::size_t TimedOut = 0;
  std::size_t LargestQueue = 0;
  std::size_t LargestWaiting = 0;
  std::size_t StoppedRuns = 0;

  BurstOutcome &operator+=(const BurstOutcome &other) {
    addTo(Goodput, other.Goodput);
    addTo(JobsOnTime, other.JobsOnTime);
    LeaderBusyBefore += other.LeaderBusyBefore;
    LeaderBusyAfter += other.LeaderBusyAfter;
    ThrownAway += other.ThrownAway;
    Refused += other.Refused;
    TimedOut += other.TimedOut;
    LargestQueue = std::max(LargestQueue, other.LargestQueue);
    LargestWaiting = std::max(LargestWaiting, other.LargestWaiting);
    StoppedRuns += other.StoppedRuns;
    return *this;
  }

  static void addTo(std::vector<double> &sum, const std::vector<double> &more) {
    sum.resize(std::max(sum.size(), more.size()));
    for (std::size_t i = 0; i < more.size(); ++i) {
      sum[i] += more[i];
    }
  }
};

inline constexpr double BurstBinSeconds = 0.5;

/// Mean of half-second figures between two times, for each second.
inline double meanRate(const std::vector<double> &bins,
                       const BurstOptions &options, double begin, double end) {
  const auto first = std::ptrdiff_t((begin + options.WarmUp) / BurstBinSeconds);
  const auto last = std::ptrdiff_t((end + options.WarmUp) / BurstBinSeconds);
  return std::accumulate(bins.begin() + first, bins.begin() + last, 0.0) /
         (end - begin);
}

/// Seconds before the burst over which normal goodput is measured, and the
/// length of the window that has to be back at it.
inline constexpr double BeforeSeconds = 8;
inline constexpr double RecoveryWindow = 3;
/// Share of the normal goodput at which a cell counts as recovered.
inline constexpr double RecoveredShare = 0.9;

inline double rateBefore(const std::vector<double> &bins,
                         const BurstOptions &options) {
  return meanRate(bins, options, options.BurstBegin - BeforeSeconds,
                  options.BurstBegin);
}

/// Seconds from the end of the burst until a window begins over which the rate
/// is at 0.9 of what it was before; -1 if there is none. `forGood` demands it
/// also of the whole time from there to the end of the run.
inline double recoverySeconds(const std::vector<double> &bins,
                              const BurstOptions &options, bool forGood) {
  const double wanted = RecoveredShare * rateBefore(bins, options);
  for (double t = options.BurstEnd; t + RecoveryWindow <= options.End;
       t += BurstBinSeconds) {
    if (meanRate(bins, options, t, t + RecoveryWindow) >= wanted &&
        (!forGood || meanRate(bins, options, t, options.End) >= wanted)) {
      return t - options.BurstEnd;
    }
  }
  return -1;
}

} // namespace masticwinch::benchmarks
