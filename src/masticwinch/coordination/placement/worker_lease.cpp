#include "masticwinch/coordination/placement/worker_lease.hpp"

#include <algorithm>

namespace masticwinch::placement {

namespace {
constexpr std::int64_t Million = 1'000'000;
} // namespace

Milliseconds LeaseSettings::maxDurationOnGranterClock() const {
  const std::int64_t drift = Length.count() * DriftMillionths / Million + 1;
  return Length + Milliseconds(drift);
}

LeaseGrant WorkerLease::nextCall(std::uint64_t epoch,
                                 const LeaseSettings &settings,
                                 SteadyTime now) {
  ++Sequence;
  InFlight = Sequence;
  LeaseGrant grant{epoch, Sequence, 0, 0, 0};
  const SteadyTime end = ReadAt + settings.maxDurationOnGranterClock();
  if (!hasReading() || NeedsReading || now >= end) {
    return grant;
  }
  grant.Incarnation = Reading.Incarnation;
  grant.ClockMs = Reading.ClockMs;
  grant.LeaseMs = static_cast<std::uint64_t>(settings.Length.count());
  LatestExpiry = std::max(LatestExpiry, end);
  return grant;
}

LeaseAnswer WorkerLease::answered(std::uint64_t sequence,
                                  const WorkerReading &reading,
                                  SteadyTime now) {
  if (sequence != InFlight || reading.Incarnation == 0) {
    return LeaseAnswer::Outdated;
  }
  InFlight = 0;
  const bool same = reading.Incarnation == Reading.Incarnation;
  NeedsReading = false;
  Reading = reading;
  ReadAt = now;
  return same ? LeaseAnswer::SameIncarnation : LeaseAnswer::NewIncarnation;
}

void WorkerLease::failed(std::uint64_t sequence) {
  if (sequence == InFlight) {
    InFlight = 0;
  }
}

void WorkerLease::refused(std::uint64_t sequence) {
  if (sequence == InFlight) {
    InFlight = 0;
    NeedsReading = true;
  }
}

void WorkerLease::clearReading() { Reading = {}; }

} // namespace masticwinch::placement
