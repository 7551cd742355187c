#pragma once

#include "masticwinch/coordination/requests/request_effects.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace masticwinch {

/// Sends the claim changes of one entry VM to the replicated state in batches,
/// one at a time; a batch is sent again until it is answered.
class ClaimClient {
public:
  /// Most changes in a batch.
  static constexpr std::size_t MaxBatch = 256;

  ClaimClient(EntryIncarnation self, Milliseconds resendAfter);

  void add(const ChangeClaim &change) { Pending.push_back(change.Change); }

  /// The batch to send now, if one is due.
  std::optional<protocol::ClaimBatch> due(SteadyTime now);

  /// The batch could not be delivered: it is due again.
  void deliveryFailed(std::uint64_t number);

  /// The batch of that number was applied; false for one that isn't awaited.
  bool acknowledged(std::uint64_t number);

  /// Whether nothing waits for an answer.
  bool idle() const { return Pending.empty() && !InFlight; }

private:
  EntryIncarnation Self;
  Milliseconds ResendAfter;
  std::deque<protocol::ClaimChange> Pending;
  std::optional<protocol::ClaimBatch> InFlight;
  SteadyTime ResendAt{};
  std::uint64_t LastNumber = 0;
};

} // namespace masticwinch
