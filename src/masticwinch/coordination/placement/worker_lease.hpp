#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>

namespace masticwinch::placement {

/// Timing bounds on which the safety of leases rests. The granter of a lease is
/// the leader.
struct LeaseSettings {
  /// How long a worker may run tasks after the clock reading that the grant
  /// echoes.
  Milliseconds Length{10'000};
  Milliseconds RenewInterval{3'000};
  /// Upper bound, in millionths, on how much slower the worker's clock may run
  /// than the granter's.
  std::int64_t DriftMillionths = 10'000;
  Milliseconds CallTimeout{1'000};
  /// How long an earlier leader may continue to grant leases after the next one
  /// has begun.
  Milliseconds LeadershipOverlap{0};

  /// Upper bound, on the granter's clock, on the time from a reading to the end
  /// of a lease granted on it.
  Milliseconds maxDurationOnGranterClock() const;
};

/// Incarnation and clock of a worker, included in every answer.
struct WorkerReading {
  /// Changes with every restart and every expired lease, so that two answers
  /// with the same incarnation belong to one unbroken lease.
  std::uint64_t Incarnation = 0;
  /// The worker's monotonic clock when it answered.
  std::uint64_t ClockMs = 0;
};

/// The lease part of a call to a worker. The worker refuses the call when the
/// incarnation is not its own, the epoch is older than one it has seen, the
/// sequence is not above the last, or its clock has passed `ClockMs + LeaseMs`.
/// A delayed call is therefore harmless. A call with a lease of zero only
/// requests a reading: it changes no lease and starts nothing.
struct LeaseGrant {
  std::uint64_t Epoch = 0;
  /// Number of the call among those of one epoch to one worker.
  std::uint64_t Sequence = 0;
  /// Zero requests a reading and grants nothing.
  std::uint64_t Incarnation = 0;
  std::uint64_t ClockMs = 0;
  std::uint64_t LeaseMs = 0;
};

/// What an answer tells the granter about the worker's incarnation.
enum class LeaseAnswer : std::uint8_t {
  /// Belongs to an earlier call or epoch and is ignored.
  Outdated,
  /// First answer, or first of a new incarnation: nothing that ran under the
  /// previous one is still running.
  NewIncarnation,
  SameIncarnation,
};

/// The granter's side of one worker's lease.
class WorkerLease {
public:
  /// Creates the next call. At most one call is in flight at a time.
  LeaseGrant nextCall(std::uint64_t epoch, const LeaseSettings &settings,
                      SteadyTime now);

  /// Handles the answer to the call with that sequence.
  LeaseAnswer answered(std::uint64_t sequence, const WorkerReading &reading,
                       SteadyTime now);

  /// The call with that sequence was not answered.
  void failed(std::uint64_t sequence);

  /// Whether every lease that was ever granted has ended.
  bool expired(SteadyTime now) const { return now > LatestExpiry; }

  /// The worker refused the call with that sequence without acting on it; the
  /// next call requests a reading.
  void refused(std::uint64_t sequence);

  /// Discards the worker's reading after its lease has expired.
  void clearReading();

  /// Whether the worker has answered in its present incarnation.
  bool hasReading() const { return Reading.Incarnation != 0; }
  bool callInFlight() const { return InFlight != 0; }
  std::uint64_t incarnation() const { return Reading.Incarnation; }
  std::uint64_t lastSequence() const { return Sequence; }
  SteadyTime latestExpiry() const { return LatestExpiry; }

private:
  std::uint64_t Sequence = 0;
  std::uint64_t InFlight = 0;
  bool NeedsReading = false;
  WorkerReading Reading;
  SteadyTime ReadAt{};
  SteadyTime LatestExpiry{};
};

} // namespace masticwinch::placement
