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

/// Class of work that requests are counted under.
enum class MetricClass : std::uint8_t {
  Urgent,
  Patient,
  /// The request named no profile that is in use.
  Unknown,
};

/// Class of a profile's requests; null for a profile that is not in use.
MetricClass metricClassOf(const protocol::Profile *profile);

/// Counts callers' requests by class and outcome, and their times.
class RequestMetrics {
public:
  explicit RequestMetrics(MetricRegistry &registry);

  /// The first dispatch began, this long after the request arrived.
  void dispatched(MetricClass kind, SteadyTime::duration waited);

  /// The caller got a reply, this long after the request arrived.
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
