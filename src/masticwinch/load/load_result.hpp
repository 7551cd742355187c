#pragma once

#include "masticwinch/load/load_request.hpp"
#include "masticwinch/metrics/histogram.hpp"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace masticwinch {

/// Counts of the requests whose intended send time is in one interval of the
/// run.
struct LoadInterval {
  std::uint64_t Intended = 0;
  std::uint64_t Answered = 0;
  /// Latency of the answered requests in seconds.
  std::unique_ptr<Histogram> Latency;
};

/// Outcomes and latencies of the requests of one stream.
class LoadStreamResult {
public:
  explicit LoadStreamResult(std::string name);

  /// Records that a request was sent, `lagSeconds` after its intended time.
  void recordSent(double intendedAt, double lagSeconds);

  /// Records the final outcome of a request. Latency is measured from the
  /// intended send time, so that it includes the time that requests wait while
  /// the system is stalled.
  void recordEnd(double intendedAt, LoadOutcome outcome, double latencySeconds);

  void recordResend() { ++ResendCount; }

  const std::string &name() const { return Name; }
  std::uint64_t sent() const { return SentCount; }
  std::uint64_t resends() const { return ResendCount; }
  std::uint64_t ended(LoadOutcome outcome) const;
  const Histogram &latency() const { return *Latency; }
  /// Maximum delay caused by the generator itself, in seconds.
  double maxLag() const { return MaxLagSeconds; }
  /// One entry per second of the run.
  const std::vector<LoadInterval> &intervals() const { return Intervals; }

private:
  LoadInterval &intervalAt(double seconds);

  std::string Name;
  std::uint64_t SentCount = 0;
  std::uint64_t ResendCount = 0;
  double MaxLagSeconds = 0;
  std::array<std::uint64_t, EnumNames<LoadOutcome>::Table.size()> Ends{};
  std::unique_ptr<Histogram> Latency;
  std::vector<LoadInterval> Intervals;
};

/// Results of a run.
struct LoadResult {
  std::string Plan;
  std::uint64_t Seed = 0;
  std::vector<std::string> Targets;
  /// Duration of the arrivals in seconds.
  double Seconds = 0;
  std::vector<std::unique_ptr<LoadStreamResult>> Streams;

  nlohmann::ordered_json json() const;
};

} // namespace masticwinch
