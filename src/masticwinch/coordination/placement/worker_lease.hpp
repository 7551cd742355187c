#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>

namespace masticwinch::placement {

/// Bounds that make a lease safe.
struct LeaseSettings {
  /// How long a worker may run tasks after the clock reading that the grant
  /// repeats.
  Milliseconds Length{10'000};
  /// Time between renewals.
  Milliseconds RenewInterval{3'000};
  /// The worker's clock loses at most this many millionths against the
  /// granter's.
  std::int64_t DriftMillionths = 10'000;
  /// An unanswered call is given up after this time.
  Milliseconds CallTimeout{1'000};
  /// How long an earlier leader may go on granting after the next one began.
  Milliseconds LeadershipOverlap{0};

  /// Longest time, on the granter's clock, from a reading to the end of a lease
  /// that was granted on it.
  Milliseconds maxDurationOnGranterClock() const;
};

/// What a worker says of itself in every answer.
struct WorkerReading {
  /// Differs after every restart and after every lease that ran out, so that
  /// two answers with one incarnation speak of one unbroken lease.
  std::uint64_t Incarnation = 0;
  /// The worker's own monotonic clock when it answered.
  std::uint64_t ClockMs = 0;
};

/// The part of a call to a worker that concerns its lease. The worker refuses
/// it when the incarnation is not its own, the epoch is older than one it has
/// seen, the sequence is not above the last, or its clock has passed
/// `ClockMs + LeaseMs`. A call that was held up anywhere is therefore harmless.
/// A call with a lease of zero only asks for a reading: it changes no lease and
/// starts nothing.
struct LeaseGrant {
  std::uint64_t Epoch = 0;
  /// Counts the calls of one epoch to one worker.
  std::uint64_t Sequence = 0;
  /// Zero asks for a reading and grants nothing.
  std::uint64_t Incarnation = 0;
  std::uint64_t ClockMs = 0;
  std::uint64_t LeaseMs = 0;
};

/// How an answer changed what the granter knows.
enum class LeaseAnswer : std::uint8_t {
  /// From an earlier call or epoch; to be ignored.
  Outdated,
  /// First answer, or the first of a new incarnation: nothing that ran under
  /// the earlier one runs now.
  NewIncarnation,
  /// The incarnation goes on.
  SameIncarnation,
};

/// The granter's side of one worker's lease.
class WorkerLease {
public:
  /// Makes the next call. At most one is under way at a time.
  LeaseGrant nextCall(std::uint64_t epoch, const LeaseSettings &settings,
                      SteadyTime now);

  /// Takes in an answer to the call with that sequence.
  LeaseAnswer answered(std::uint64_t sequence, const WorkerReading &reading,
                       SteadyTime now);

  /// The call with that sequence brought no answer.
  void failed(std::uint64_t sequence);

  /// Whether everything that was ever granted has ended by now.
  bool expired(SteadyTime now) const { return now > LatestExpiry; }

  /// The worker refused the call with that sequence, which changed nothing
  /// there; the next call asks for a reading.
  void refused(std::uint64_t sequence);

  /// Forgets the worker's incarnation, after its lease ran out.
  void clearReading();

  /// Whether the worker answered in its present incarnation.
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
