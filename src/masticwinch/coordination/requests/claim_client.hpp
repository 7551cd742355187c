#pragma once

#include "masticwinch/coordination/requests/request_effects.hpp"
#include "masticwinch/coordination/requests/slot_owner.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace masticwinch {

/// Sends the claim changes of one entry VM to the replicated state in batches.
/// At most one batch is in flight; it is resent until it is acknowledged.
class ClaimClient {
public:
  /// Maximum number of changes in a batch.
  static constexpr std::size_t MaxBatch = 256;
  /// Size of the changes of a batch at which no more are added to it.
  static constexpr std::size_t FullBatchBytes = 256UL * 1024;

  ClaimClient(EntryIncarnation self, Milliseconds resendAfter);

  void add(const ChangeClaim &change) { Pending.push_back(change.Change); }

  /// Returns the batch to send now, if one is due.
  std::optional<protocol::ClaimBatch> due(SteadyTime now);

  /// Makes the batch due again after a failed delivery.
  void deliveryFailed(std::uint64_t number);

  /// Records that the batch with this number was applied. Returns false if it
  /// is not the batch in flight.
  bool acknowledged(std::uint64_t number);

  /// Whether no change is pending or in flight.
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
