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

/// Requests whose intended send time lies in one interval of the run.
struct LoadInterval {
  std::uint64_t Intended = 0;
  std::uint64_t Answered = 0;
  /// Latency in seconds of the answered ones.
  std::unique_ptr<Histogram> Latency;
};

/// What became of the requests of one stream.
class LoadStreamResult {
public:
  explicit LoadStreamResult(std::string name);

  /// A request was due; `lagSeconds` is how much later it was really sent.
  void recordSent(double intendedAt, double lagSeconds);

  /// A request got its final outcome. Latency is counted from the intended send
  /// time, so that a stalled system is charged for all that waits.
  void recordEnd(double intendedAt, LoadOutcome outcome, double latencySeconds);

  void recordResend() { ++ResendCount; }

  const std::string &name() const { return Name; }
  std::uint64_t sent() const { return SentCount; }
  std::uint64_t resends() const { return ResendCount; }
  std::uint64_t ended(LoadOutcome outcome) const;
  const Histogram &latency() const { return *Latency; }
  /// Largest delay of the generator itself, in seconds.
  double maxLag() const { return MaxLagSeconds; }
  /// One entry for each second of the run.
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

/// The outcome of a whole run.
struct LoadResult {
  std::string Plan;
  std::uint64_t Seed = 0;
  std::vector<std::string> Targets;
  /// Length of the arrivals, in seconds.
  double Seconds = 0;
  std::vector<std::unique_ptr<LoadStreamResult>> Streams;

  nlohmann::ordered_json json() const;
};

} // namespace masticwinch
