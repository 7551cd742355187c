#include "masticwinch/coordination/workflow/account_rates.hpp"

#include "masticwinch/common/saturating.hpp"

#include <xxhash.h>

#include <algorithm>

namespace masticwinch::workflow {

namespace {

constexpr std::uint64_t OneSubmission = 1'000'000;

/// What a bucket of this rate holds: one second's worth, but at least one
/// submission, without which an account of less than one per second would never
/// be within its rate.
std::uint64_t capacityOf(std::uint64_t weightPermille) {
  return std::max(saturatingMultiply(weightPermille, 1000), OneSubmission);
}

} // namespace

AccountRates::IdHash AccountRates::hashOf(const std::string &account,
                                          std::string_view id) {
  return XXH3_64bits_withSeed(id.data(), id.size(),
                              XXH3_64bits(account.data(), account.size()));
}

void AccountRates::refill(Bucket &bucket, SteadyTime now) {
  // Whole milliseconds, so that no fraction of a token is lost.
  const auto passed = std::chrono::duration_cast<Milliseconds>(now - bucket.At);
  if (passed <= Milliseconds(0)) {
    return;
  }
  bucket.At += passed;
  // A thousandth of a submission per second is a millionth per millisecond.
  const Tokens got =
      saturatingMultiply(std::uint64_t(passed.count()), bucket.WeightPermille);
  bucket.Available = std::min(saturatingAdd(bucket.Available, got),
                              capacityOf(bucket.WeightPermille));
  bucket.Missing -= std::min(bucket.Missing, got);
}

AccountRates::Bucket &AccountRates::bucketOf(const std::string &account,
                                             std::uint64_t weightPermille,
                                             SteadyTime now) {
  const auto [it, isNew] = Buckets.try_emplace(account);
  Bucket &bucket = it->second;
  if (isNew) {
    bucket = {capacityOf(weightPermille), 0, now, weightPermille};
  }
  refill(bucket, now);
  if (bucket.WeightPermille != weightPermille) {
    bucket.WeightPermille = weightPermille;
    bucket.Available = std::min(bucket.Available, capacityOf(weightPermille));
  }
  return bucket;
}

/// Forgets old ids and the buckets that are as good as new.
void AccountRates::expire(SteadyTime now) {
  while (!Ends.empty() && Ends.front().first <= now) {
    Ids.erase(Ends.front().second);
    Ends.pop_front();
  }
  if (now < NextCleanup) {
    return;
  }
  NextCleanup = now + Options.Memory;
  for (auto it = Buckets.begin(); it != Buckets.end();) {
    Bucket &bucket = it->second;
    refill(bucket, now);
    const bool full = bucket.Available >= capacityOf(bucket.WeightPermille);
    it = full && bucket.Missing == 0 ? Buckets.erase(it) : std::next(it);
  }
}

RateClass AccountRates::classify(const std::string &account,
                                 std::uint64_t weightPermille,
                                 std::string_view id, SteadyTime now) {
  if (weightPermille == 0) {
    return RateClass::WithinRate;
  }
  expire(now);
  const IdHash hash = hashOf(account, id);
  if (const auto known = Ids.find(hash); known != Ids.end()) {
    return known->second.Class;
  }
  if (Ends.size() >= Options.MaxIds) {
    Ids.erase(Ends.front().second);
    Ends.pop_front();
  }
  Bucket &bucket = bucketOf(account, weightPermille, now);
  KnownId entry{RateClass::Excess, false};
  if (bucket.Available >= OneSubmission) {
    bucket.Available -= OneSubmission;
    entry.Class = RateClass::WithinRate;
  }
  Ids[hash] = entry;
  Ends.emplace_back(now + Options.Memory, hash);
  return entry.Class;
}

Milliseconds AccountRates::refuse(const std::string &account,
                                  std::uint64_t weightPermille,
                                  std::string_view id, SteadyTime now) {
  const IdHash hash = hashOf(account, id);
  Bucket &bucket =
      bucketOf(account, std::max<std::uint64_t>(weightPermille, 1), now);
  const auto known = Ids.find(hash);
  if (known != Ids.end() && !known->second.Refused) {
    known->second.Refused = true;
    bucket.Missing = saturatingAdd(bucket.Missing, OneSubmission);
  }
  const std::uint64_t longest = std::uint64_t(Options.MaxRetryAfter.count());
  const std::uint64_t shortest = std::uint64_t(Options.MinRetryAfter.count());
  const std::uint64_t untilAll =
      std::clamp(bucket.Missing / bucket.WeightPermille, shortest, longest);
  return Milliseconds(shortest + hash % (untilAll - shortest + 1));
}

} // namespace masticwinch::workflow
