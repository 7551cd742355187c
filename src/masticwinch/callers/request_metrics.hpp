#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/requests/request_types.hpp"

#include <array>
#include <cstdint>

namespace masticwinch {
class Counter;
class Histogram;
class MetricRegistry;
} // namespace masticwinch

namespace masticwinch::protocol {
class Profile;
}

namespace masticwinch::callers {

/// Class of work used as a metric label.
enum class MetricClass : std::uint8_t {
  Urgent,
  Patient,
  /// The request names no profile that is in use.
  Unknown,
};

/// Class of a profile's requests; `profile` is null if it is not in use.
MetricClass metricClassOf(const protocol::Profile *profile);

/// Counts callers' requests by class and outcome, and records their durations.
class RequestMetrics {
public:
  explicit RequestMetrics(MetricRegistry &registry);

  /// Records a request's first dispatch, `waited` after its arrival.
  void dispatched(MetricClass kind, SteadyTime::duration waited);

  /// Records the reply to the caller, `took` after the request's arrival.
  void ended(MetricClass kind, RequestOutcome outcome, unsigned attempts,
             SteadyTime::duration took);

private:
  static constexpr std::size_t Classes = 3;
  static constexpr std::size_t Outcomes = 3;

  std::array<std::array<Counter *, Outcomes>, Classes> Ended{};
  std::array<Histogram *, Classes> Wait{};
  std::array<Histogram *, Classes> Total{};
  Counter *Retries = nullptr;
};

} // namespace masticwinch::callers

namespace masticwinch {

template <> struct EnumNames<callers::MetricClass> {
  using Kind = callers::MetricClass;
  static constexpr std::array<EnumName<Kind>, 3> Table{{
      {Kind::Urgent, "urgent"},
      {Kind::Patient, "patient"},
      {Kind::Unknown, "unknown"},
  }};
};

} // namespace masticwinch
