#include "masticwinch/coordination/requests/dispatcher.hpp"

#include <algorithm>

namespace masticwinch {
namespace {

constexpr Milliseconds ShortRetryAfter{1000};
constexpr Milliseconds LongestRetryAfter{30'000};

/// Burst of a rate limit, as time at the full rate.
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

/// Lets a request into the queue or refuses it. A request with a key comes here
/// only once it holds the claim: before, an earlier sending may have run.
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

/// Time that a request which arrives now would wait for a slot.
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

/// Part of the deadline that is kept for running: a request that is dispatched
/// later would only waste its slot. Never more than half, so that a mean from
/// slower times can't refuse everything.
Milliseconds Dispatcher::reservedRunTime(const RequestRecord &record) const {
  const Milliseconds mean =
      ServiceTimeMeans.meanOfProfile(record.Arrival.Profile);
  return std::min(mean + mean / 2, record.Rules.Deadline / 2);
}

void Dispatcher::dequeued(const RequestRecord &record) {
  WaitingTriedUpstreams -= record.TriedUpstreams.size();
}

} // namespace masticwinch
