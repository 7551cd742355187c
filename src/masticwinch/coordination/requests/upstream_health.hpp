#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/requests/request_types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticwinch {

/// When upstreams that fail get no work.
struct EjectionRules {
  unsigned ConsecutiveFailures = 5;
  /// Share of failures among the recent results that ejects.
  double FailureShare = 0.6;
  /// Fewest results that a share is taken of.
  unsigned MinResults = 10;
  /// Largest part of the upstreams that is ejected at a time; one always may.
  double MaxEjectedShare = 0.3;
  Milliseconds FirstEjection{1000};
  Milliseconds LongestEjection{30'000};
};

/// What one entry VM learned from the results of its dispatches: how fast each
/// upstream answers and which are ejected. An ejected upstream is probed with
/// one request at a time when its ejection has ended.
class UpstreamHealth {
public:
  explicit UpstreamHealth(EjectionRules rules = {}) : Rules(rules) {}

  /// Forgets an upstream, or the results of its former incarnation.
  void reset(const std::string &upstream);
  void remove(const std::string &upstream);

  void recordSuccess(const std::string &upstream, SteadyTime::duration took);
  void recordFailure(const std::string &upstream, SteadyTime now);

  /// The request turned out to fail everywhere: its failure isn't the
  /// upstream's.
  void retractFailure(const std::string &upstream);

  /// Whether the upstream may get a request now, with so many in use.
  bool isAvailable(const std::string &upstream, std::uint32_t inUse,
                   SteadyTime now) const;

  /// Expected cost of one more request; lower is better.
  double expectedCost(const std::string &upstream, std::uint32_t inUse) const;

  bool isEjected(const std::string &upstream) const;
  std::size_t ejectedCount() const;

private:
  struct Record {
    double MeanMillis = 0;
    double FailureShare = 0;
    unsigned Results = 0;
    unsigned FailureStreak = 0;
    unsigned Ejections = 0;
    bool Ejected = false;
    SteadyTime EjectedUntil{};
  };

  bool shouldEject(const Record &record) const;
  void eject(Record &record, SteadyTime now) const;

  EjectionRules Rules;
  std::map<std::string, Record> Records;
  double MeanMillis = 0;
};

} // namespace masticwinch
