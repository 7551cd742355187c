#pragma once

#include "masticwinch/common/clock.hpp"

#include <map>
#include <string>

namespace masticwinch {

/// Exponential moving averages of the service time of answered requests, per
/// profile and per class.
class ServiceTimes {
public:
  void record(const std::string &profile, bool urgent,
              SteadyTime::duration serviceTime);

  /// Mean service time; zero before the first answer.
  Milliseconds meanOfProfile(const std::string &profile) const;
  Milliseconds meanOfClass(bool urgent) const;

private:
  std::map<std::string, double> ProfileMillis;
  double UrgentMillis = 0;
  double PatientMillis = 0;
};

} // namespace masticwinch
