#include "masticwinch/coordination/workflow/gang_reservation.hpp"

#include <algorithm>
#include <array>

namespace masticwinch::workflow {

namespace {

/// Horizons that are tried, shortest first; a run usually lasts a few seconds.
constexpr std::array<Milliseconds, 6> Horizons{
    Milliseconds(250),  Milliseconds(500),  Milliseconds(1000),
    Milliseconds(2000), Milliseconds(3500), Milliseconds(6000)};

std::size_t countFitting(ResourceAmounts free, const ResourceAmounts &needs) {
  std::size_t count = 0;
  while (free.canFit(needs)) {
    free -= needs;
    ++count;
    if (needs == ResourceAmounts()) {
      break;
    }
  }
  return count;
}

/// Free resources of a runner once the runs that are expected to end by `when`
/// have ended.
ResourceAmounts freeAmountsAt(const RunnerEntry &runner, SteadyTime when) {
  ResourceAmounts free = runner.Free;
  for (const auto &[run, it] : runner.Runs) {
    if (it.OccupiedSince + it.ExpectedDuration <= when) {
      free += it.Needs;
    }
  }
  return free;
}

} // namespace

std::optional<GangReservation>
reserveForGang(const ResourceAmounts &needs, std::size_t count,
               const std::vector<const RunnerEntry *> &runners,
               SteadyTime now) {
  for (const Milliseconds horizon : Horizons) {
    std::vector<std::pair<std::size_t, const RunnerEntry *>> slots;
    std::size_t all = 0;
    for (const RunnerEntry *it : runners) {
      const std::size_t fit =
          countFitting(freeAmountsAt(*it, now + horizon), needs);
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
    GangReservation reservation;
    reservation.Horizon = horizon;
    std::size_t reservedSlots = 0;
    for (const auto &[fit, runner] : slots) {
      if (reservedSlots >= count) {
        break;
      }
      reservedSlots += fit;
      reservation.Runners.push_back(runner);
    }
    return reservation;
  }
  return std::nullopt;
}

} // namespace masticwinch::workflow
