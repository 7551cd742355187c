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
  UnderWay = Sequence;
  LeaseGrant grant{epoch, Sequence, 0, 0, 0};
  const SteadyTime end = ReadAt + settings.maxDurationOnGranterClock();
  if (!heard() || AskAnew || now >= end) {
    return grant;
  }
  grant.Incarnation = Reading.Incarnation;
  grant.ClockMs = Reading.ClockMs;
  grant.LeaseMs = static_cast<std::uint64_t>(settings.Length.count());
  EndsBy = std::max(EndsBy, end);
  return grant;
}

LeaseNews WorkerLease::answered(std::uint64_t sequence,
                                const WorkerReading &reading, SteadyTime now) {
  if (sequence != UnderWay || reading.Incarnation == 0) {
    return LeaseNews::Outdated;
  }
  UnderWay = 0;
  const bool same = reading.Incarnation == Reading.Incarnation;
  AskAnew = false;
  Reading = reading;
  ReadAt = now;
  return same ? LeaseNews::Same : LeaseNews::NewIncarnation;
}

void WorkerLease::failed(std::uint64_t sequence) {
  if (sequence == UnderWay) {
    UnderWay = 0;
  }
}

void WorkerLease::refused(std::uint64_t sequence) {
  if (sequence == UnderWay) {
    UnderWay = 0;
    AskAnew = true;
  }
}

void WorkerLease::forget() { Reading = {}; }

} // namespace masticwinch::placement
