#include "masticwinch/load/arrivals.hpp"

#include <cmath>

namespace masticwinch {

namespace {

/// Returns the expected number of arrivals in the whole phase.
double expectedArrivals(const ArrivalPhase &phase) {
  return (phase.StartRate + phase.EndRate) / 2 * phase.Seconds;
}

/// Returns the time from the start of the phase, in seconds, at which the
/// expected number of arrivals reaches `expected`. Solves StartRate t +
/// (EndRate - StartRate) t^2 / (2 Seconds) = expected for t.
double secondsUntil(const ArrivalPhase &phase, double expected) {
  const double growth = (phase.EndRate - phase.StartRate) / phase.Seconds;
  const double root = std::sqrt(
      std::max(0.0, phase.StartRate * phase.StartRate + 2 * growth * expected));
  return 2 * expected / (phase.StartRate + root);
}

} // namespace

Arrivals::Arrivals(std::vector<ArrivalPhase> phases, std::uint64_t seed)
    : Phases(std::move(phases)), Random(seed) {}

double Arrivals::draw(ArrivalKind kind) {
  return kind == ArrivalKind::Constant
             ? 1.0
             : std::exponential_distribution<double>(1.0)(Random);
}

std::optional<double> Arrivals::next() {
  while (Phase < Phases.size()) {
    const ArrivalPhase &phase = Phases[Phase];
    const double distance = Distance.value_or(draw(phase.Kind));
    const double total = expectedArrivals(phase);
    if (Expected + distance <= total) {
      Expected += distance;
      Distance.reset();
      return PhaseStart + secondsUntil(phase, Expected);
    }
    // The rest of the distance to the next arrival carries over into the next
    // phase.
    Distance = Expected + distance - total;
    PhaseStart += phase.Seconds;
    Expected = 0;
    ++Phase;
  }
  return std::nullopt;
}

} // namespace masticwinch
