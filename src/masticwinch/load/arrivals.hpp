#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace masticwinch {

/// How arrivals are spread at a given rate.
enum class ArrivalKind : std::uint8_t {
  /// Equal distances.
  Constant,
  /// Independent arrivals with exponential distances.
  Poisson,
};

template <> struct EnumNames<ArrivalKind> {
  static constexpr std::array<EnumName<ArrivalKind>, 2> Table{{
      {ArrivalKind::Constant, "constant"},
      {ArrivalKind::Poisson, "poisson"},
  }};
};

/// A span of time during which the rate changes linearly; surges are made of
/// several.
struct ArrivalPhase {
  ArrivalKind Kind = ArrivalKind::Poisson;
  double Seconds = 0;
  /// Arrivals a second at the begin and the end.
  double StartRate = 0;
  double EndRate = 0;
};

/// The moments at which requests are to be sent, in their order. The same
/// phases and seed give the same moments.
class Arrivals {
public:
  Arrivals(std::vector<ArrivalPhase> phases, std::uint64_t seed);

  /// Seconds from the begin to the next arrival; nothing after the last one.
  std::optional<double> next();

private:
  double draw(ArrivalKind kind);

  std::vector<ArrivalPhase> Phases;
  std::mt19937_64 Random;
  std::size_t Phase = 0;
  /// Begin of the current phase in seconds.
  double PhaseStart = 0;
  /// Arrivals to be expected from the phase's begin to the last arrival.
  double Expected = 0;
  /// Expected arrivals still to pass before the next one.
  std::optional<double> Distance;
};

} // namespace masticwinch
