#include "masticwinch/load/arrivals.hpp"

#include <cmath>

namespace masticwinch {

namespace {

/// Arrivals to be expected in the whole phase.
double expectedArrivals(const ArrivalPhase &phase) {
  return (phase.StartRate + phase.EndRate) / 2 * phase.Seconds;
}

/// Seconds from the begin of the phase until the given number of arrivals is to
/// be expected: solves StartRate t + (EndRate - StartRate) t^2 / (2 Seconds).
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
    // What the phase leaves over of the distance is spent in the next one.
    Distance = Expected + distance - total;
    PhaseStart += phase.Seconds;
    Expected = 0;
    ++Phase;
  }
  return std::nullopt;
}

} // namespace masticwinch
