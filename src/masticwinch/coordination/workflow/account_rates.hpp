#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace masticwinch::workflow {

/// Whether a submission is within the rate that its account is entitled to.
enum class RateClass : std::uint8_t { WithinRate, Excess };

struct AccountRatesOptions {
  /// Most ids that are remembered; the oldest are forgotten first. Enough for
  /// 1,600 submissions per second during `Memory`.
  std::size_t MaxIds = 16'384;
  /// How long the class of an id is remembered.
  Milliseconds Memory{10'000};
  /// Limits of the delay after which a refused caller may retry.
  Milliseconds MinRetryAfter{1000};
  Milliseconds MaxRetryAfter{8000};
};

/// The rates of the client accounts: for each a token bucket that gets `weight`
/// submissions per second and holds one second's worth, at least one
/// submission. The class of an id is decided once and remembered for a while,
/// so that a submission that is sent again is neither charged again nor
/// promoted. State machine without I/O; bounded by the number of accounts and
/// `MaxIds`.
class AccountRates {
public:
  explicit AccountRates(AccountRatesOptions options = {}) : Options(options) {}

  /// Returns the class of a submission, and charges its account if it is new
  /// and within the rate. The weight is in thousandths of a submission per
  /// second; an account of weight 0 has no rate.
  RateClass classify(const std::string &account, std::uint64_t weightPermille,
                     std::string_view id, SteadyTime now);

  /// Records that an excess submission is refused. Returns after which delay
  /// its caller may retry: the callers of an account are spread over the time
  /// that its bucket takes to get tokens for all that were refused.
  Milliseconds refuse(const std::string &account, std::uint64_t weightPermille,
                      std::string_view id, SteadyTime now);

  /// Number of ids that are remembered.
  std::size_t size() const { return Ids.size(); }
  /// Number of accounts that have a bucket.
  std::size_t bucketCount() const { return Buckets.size(); }

private:
  /// Millionths of a submission.
  using Tokens = std::uint64_t;
  struct Bucket {
    Tokens Available = 0;
    /// Tokens that the refused submissions would need, less what the bucket
    /// has got since.
    Tokens Missing = 0;
    SteadyTime At{};
    std::uint64_t WeightPermille = 0;
  };
  struct KnownId {
    RateClass Class = RateClass::WithinRate;
    bool Refused = false;
  };

  /// The hash of an id together with its account.
  using IdHash = std::uint64_t;
  static IdHash hashOf(const std::string &account, std::string_view id);
  static void refill(Bucket &bucket, SteadyTime now);
  Bucket &bucketOf(const std::string &account, std::uint64_t weightPermille,
                   SteadyTime now);
  void expire(SteadyTime now);

  AccountRatesOptions Options;
  std::unordered_map<std::string, Bucket> Buckets;
  std::unordered_map<IdHash, KnownId> Ids;
  /// The known ids by the time at which they are forgotten.
  std::deque<std::pair<SteadyTime, IdHash>> Ends;
  SteadyTime NextCleanup{};
};

} // namespace masticwinch::workflow
