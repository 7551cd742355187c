#include "masticwinch/coordination/workflow/gang_forecast.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace masticwinch::workflow {

namespace {

/// Horizons that are tried, shortest first; a run usually lasts a few seconds.
constexpr std::array<Milliseconds, 6> Horizons{
    Milliseconds(250),  Milliseconds(500),  Milliseconds(1000),
    Milliseconds(2000), Milliseconds(3500), Milliseconds(6000)};

/// A run that has exceeded its estimate is expected to last for another quarter
/// of the time that it has taken so far.
SteadyTime expectedEnd(const TrackedRun &run, SteadyTime now) {
  const SteadyTime::duration elapsed = now - run.OccupiedSince;
  return std::max<SteadyTime>(run.OccupiedSince + run.ExpectedDuration,
                              now + elapsed / 4);
}

/// Free resources of a runner once the runs that are expected to end by `when`
/// have ended.
ResourceAmounts freeAmountsAt(const RunnerEntry &runner, SteadyTime now,
                              SteadyTime when) {
  ResourceAmounts free = runner.Free;
  for (const auto &[run, it] : runner.Runs) {
    if (expectedEnd(it, now) <= when) {
      free += it.Needs;
    }
  }
  return free;
}

} // namespace

std::size_t countFitting(ResourceAmounts free, const ResourceAmounts &needs) {
  if (!free.canFit(needs)) {
    return 0;
  }
  if (needs == ResourceAmounts()) {
    return 1;
  }
  std::int64_t count = std::numeric_limits<std::int64_t>::max();
  const auto limit = [&count](std::int64_t available, std::int64_t needed) {
    if (needed > 0) {
      count = std::min(count, available / needed);
    }
  };
  limit(free.MilliProcessors, needs.MilliProcessors);
  limit(free.MemoryMb, needs.MemoryMb);
  limit(free.Accelerators, needs.Accelerators);
  return std::size_t(count);
}

std::size_t expectedPlaces(const RunnerEntry &runner,
                           const ResourceAmounts &needs, SteadyTime now,
                           Milliseconds horizon) {
  return countFitting(freeAmountsAt(runner, now, now + horizon), needs);
}

std::optional<GangForecast>
forecastGangRoom(const ResourceAmounts &needs, std::size_t count,
                 const std::vector<const RunnerEntry *> &runners,
                 SteadyTime now, std::uint32_t maxPerRunner) {
  for (const Milliseconds horizon : Horizons) {
    std::vector<std::pair<std::size_t, const RunnerEntry *>> slots;
    std::size_t all = 0;
    for (const RunnerEntry *it : runners) {
      std::size_t fit = expectedPlaces(*it, needs, now, horizon);
      if (maxPerRunner > 0) {
        fit = std::min<std::size_t>(fit, maxPerRunner);
      }
      if (fit > 0) {
        slots.emplace_back(fit, it);
        all += fit;
      }
    }
    if (all < count) {
      continue;
    }
    std::stable_sort(
        slots.begin(), slots.end(),
        [](const auto &a, const auto &b) { return a.first > b.first; });
    GangForecast forecast;
    forecast.Horizon = horizon;
    std::size_t places = 0;
    for (const auto &[fit, runner] : slots) {
      if (places >= count) {
        break;
      }
      places += fit;
      forecast.Runners.push_back(runner);
    }
    return forecast;
  }
  return std::nullopt;
}

} // namespace masticwinch::workflow
