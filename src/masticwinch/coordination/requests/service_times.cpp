#include "masticwinch/coordination/requests/service_times.hpp"

#include <cmath>
#include <cstdint>

namespace masticwinch {
namespace {

/// Weight of the newest sample in the moving averages.
constexpr double SmoothingFactor = 0.05;

void updateMean(double &mean, double value) {
  mean = mean == 0 ? value : mean + SmoothingFactor * (value - mean);
}

Milliseconds toMillis(double value) {
  return Milliseconds(static_cast<std::int64_t>(std::ceil(value)));
}

} // namespace

void ServiceTimes::record(const std::string &profile, bool urgent,
                          SteadyTime::duration serviceTime) {
  const double millis =
      std::chrono::duration<double, std::milli>(serviceTime).count();
  updateMean(ProfileMillis[profile], millis);
  updateMean(urgent ? UrgentMillis : PatientMillis, millis);
}

Milliseconds ServiceTimes::meanOfProfile(const std::string &profile) const {
  const auto found = ProfileMillis.find(profile);
  return toMillis(found == ProfileMillis.end() ? 0 : found->second);
}

Milliseconds ServiceTimes::meanOfClass(bool urgent) const {
  return toMillis(urgent ? UrgentMillis : PatientMillis);
}

} // namespace masticwinch
