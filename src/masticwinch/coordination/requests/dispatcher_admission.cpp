#include "masticwinch/coordination/requests/dispatcher.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

constexpr Milliseconds ShortRetryAfter{1000};
constexpr Milliseconds LongestRetryAfter{30'000};

/// Burst size of a rate limit, in seconds at the full rate.
constexpr double BurstSeconds = 0.25;

} // namespace

RefusalReason Dispatcher::refusalOnArrival(const RequestRecord &record) const {
  if (Draining) {
    return RefusalReason::Draining;
  }
  if (Fenced) {
    return RefusalReason::NotServing;
  }
  const std::string &profile = record.Arrival.Profile;
  const auto claiming = ProfileClaims.find(profile);
  const std::size_t claims =
      claiming == ProfileClaims.end() ? 0 : claiming->second;
  if (record.keyed() && claims >= record.Rules.QueueLength) {
    return RefusalReason::QueueFull;
  }
  return RefusalReason::None;
}

/// Enqueues or refuses a request. A request with an idempotency key is admitted
/// only after its claim is granted: before that, an earlier request with the
/// key may have run.
void Dispatcher::admit(RequestRecord &record, SteadyTime now) {
  const RefusalReason reason = admissionRefusal(record, now);
  if (reason != RefusalReason::None) {
    finish(record, RequestOutcome::NotRun, reason, nullptr, now);
    return;
  }
  enqueue(record, now);
}

RefusalReason Dispatcher::admissionRefusal(RequestRecord &record,
                                           SteadyTime now) {
  const RequestRules &rules = record.Rules;
  if (Queue.sizeOfFlow(record.Arrival.Profile) >= rules.QueueLength) {
    return RefusalReason::QueueFull;
  }
  const Milliseconds wait = expectedWait(rules.Urgent, now);
  const bool late = now + wait + reservedRunTime(record) > record.DeadlineAt;
  if (wait > Milliseconds(0) && (late || wait > rules.QueueTime)) {
    return RefusalReason::DeadlineUnmeetable;
  }
  TokenBucket *bucket = bucketOf(record);
  if (bucket != nullptr && !bucket->take(now)) {
    return RefusalReason::RateLimit;
  }
  return RefusalReason::None;
}

TokenBucket *Dispatcher::bucketOf(const RequestRecord &record) {
  const double rate = record.Rules.RatePerSecond;
  if (rate <= 0) {
    return nullptr;
  }
  const std::string &profile = record.Arrival.Profile;
  auto found = Buckets.find(profile);
  if (found == Buckets.end() || found->second.rate() != rate) {
    found =
        Buckets
            .insert_or_assign(profile, TokenBucket(rate, rate * BurstSeconds))
            .first;
  }
  return &found->second;
}

/// Expected time that a request which arrives now waits for a slot.
Milliseconds Dispatcher::expectedWait(bool urgent, SteadyTime now) const {
  const std::size_t ahead = urgent ? Queue.urgentSize() : Queue.size();
  const std::uint32_t slots =
      std::max<std::uint32_t>(Holder.usableSlots(now), 1);
  return ServiceTimeMeans.meanOfClass(urgent) *
         static_cast<std::int64_t>(ahead) / slots;
}

Milliseconds Dispatcher::retryAfter(const RequestRecord &record,
                                    RefusalReason reason, SteadyTime now) {
  switch (reason) {
  case RefusalReason::RateLimit: {
    TokenBucket *bucket = bucketOf(record);
    return bucket == nullptr ? ShortRetryAfter : bucket->untilNext(now);
  }
  case RefusalReason::QueueFull:
  case RefusalReason::DeadlineUnmeetable:
  case RefusalReason::QueueTimeout:
  case RefusalReason::DeadlinePassed:
    return std::clamp(expectedWait(record.Rules.Urgent, now), ShortRetryAfter,
                      LongestRetryAfter);
  case RefusalReason::Draining:
  case RefusalReason::NotServing:
  case RefusalReason::UpstreamsFailed:
  case RefusalReason::ClaimTimeout:
  case RefusalReason::ClaimsFull:
  case RefusalReason::InProgress:
    return ShortRetryAfter;
  default:
    return Milliseconds(0);
  }
}

void Dispatcher::enqueue(RequestRecord &record, SteadyTime now) {
  record.Stage = RequestStage::Waiting;
  record.QueueUntil = std::min(now + record.Rules.QueueTime,
                               record.DeadlineAt - reservedRunTime(record));
  Queue.push({record.Arrival.Profile, record.Rules.Urgent, record.Rules.Weight},
             record.Number);
  WaitingTriedUpstreams += record.TriedUpstreams.size();
  setTimer(record);
}

/// Part of the deadline that is reserved for running: a request dispatched
/// later would waste its slot. At most half of the deadline, so that a mean
/// from a slow period can't cause every request to be refused.
Milliseconds Dispatcher::reservedRunTime(const RequestRecord &record) const {
  const Milliseconds mean =
      ServiceTimeMeans.meanOfProfile(record.Arrival.Profile);
  return std::min(mean + mean / 2, record.Rules.Deadline / 2);
}

void Dispatcher::dequeued(const RequestRecord &record) {
  WaitingTriedUpstreams -= record.TriedUpstreams.size();
}

} // namespace masticwinch
