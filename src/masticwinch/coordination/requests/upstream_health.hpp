#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/coordination/requests/request_types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace masticwinch {

/// Rules for ejecting failing upstreams. An ejected upstream gets no requests.
struct EjectionRules {
  unsigned ConsecutiveFailures = 5;
  /// Share of failures among the recent results at which an upstream is
  /// ejected.
  double FailureShare = 0.6;
  /// Minimum number of results for the failure share to be considered.
  unsigned MinResults = 10;
  /// Maximum share of the upstreams that are ejected at the same time; one may
  /// always be ejected.
  double MaxEjectedShare = 0.3;
  Milliseconds FirstEjection{1000};
  Milliseconds LongestEjection{30'000};
};

/// Health of the upstreams as seen by one entry VM: their response times and
/// ejections, derived from the results of its dispatches. Only results of the
/// present incarnation count. After its ejection period, an upstream is probed
/// with one request at a time.
class UpstreamHealth {
public:
  explicit UpstreamHealth(EjectionRules rules = {}) : Rules(rules) {}

  /// Sets the present incarnation of an upstream and discards the results of
  /// another one.
  void setPresent(const UpstreamIncarnation &upstream);

  /// Discards the record of an upstream that has left.
  void remove(const std::string &upstream);

  /// Whether this is the present incarnation of an upstream.
  bool isPresent(const UpstreamIncarnation &upstream) const;

  void recordSuccess(const UpstreamIncarnation &upstream,
                     SteadyTime::duration serviceTime);
  void recordFailure(const UpstreamIncarnation &upstream, SteadyTime now);

  /// Takes back one failure of the upstream, because the request that caused it
  /// failed at another upstream as well.
  void retractFailure(const UpstreamIncarnation &upstream);

  /// Whether a request may be sent to the upstream while `inUse` of its slots
  /// are in use.
  bool isAvailable(const std::string &upstream, std::uint32_t inUse,
                   SteadyTime now) const;

  /// Expected cost of sending one more request to the upstream; lower is
  /// better.
  double expectedCost(const std::string &upstream, std::uint32_t inUse) const;

  bool isEjected(const std::string &upstream) const;
  std::size_t ejectedCount() const;

private:
  struct Record {
    std::uint64_t Incarnation = 0;
    double MeanMillis = 0;
    double FailureShare = 0;
    unsigned Results = 0;
    unsigned FailureStreak = 0;
    unsigned Ejections = 0;
    bool Ejected = false;
    SteadyTime EjectedUntil{};
  };

  Record *find(const UpstreamIncarnation &upstream);
  bool shouldEject(const Record &record) const;
  void eject(Record &record, SteadyTime now) const;

  EjectionRules Rules;
  std::map<std::string, Record> Records;
  double MeanMillis = 0;
};

} // namespace masticwinch
