#pragma once

#include "masticwinch/common/enum_names.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace masticwinch {

/// Distribution of the arrivals at a given rate.
enum class ArrivalKind : std::uint8_t {
  /// Equal intervals.
  Constant,
  /// Independent arrivals with exponentially distributed intervals.
  Poisson,
};

template <> struct EnumNames<ArrivalKind> {
  static constexpr std::array<EnumName<ArrivalKind>, 2> Table{{
      {ArrivalKind::Constant, "constant"},
      {ArrivalKind::Poisson, "poisson"},
  }};
};

/// A period in which the rate changes linearly. A surge is described by several
/// phases.
struct ArrivalPhase {
  ArrivalKind Kind = ArrivalKind::Poisson;
  double Seconds = 0;
  /// Arrivals per second at the start and at the end of the phase.
  double StartRate = 0;
  double EndRate = 0;
};

/// Generates the send times of requests in ascending order. The same phases and
/// seed give the same times.
class Arrivals {
public:
  Arrivals(std::vector<ArrivalPhase> phases, std::uint64_t seed);

  /// Returns the time of the next arrival in seconds from the start, or nullopt
  /// after the last arrival.
  std::optional<double> next();

private:
  double draw(ArrivalKind kind);

  std::vector<ArrivalPhase> Phases;
  std::mt19937_64 Random;
  std::size_t Phase = 0;
  /// Start of the current phase in seconds.
  double PhaseStart = 0;
  /// Expected number of arrivals from the start of the phase to the last
  /// arrival.
  double Expected = 0;
  /// Remaining distance to the next arrival, in expected arrivals.
  std::optional<double> Distance;
};

} // namespace masticwinch
