#pragma once

#include "masticwinch/protocol/cell.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticwinch {

/// Limits of the table of idempotency keys. They must be equal on all replicas.
struct ClaimTableLimits {
  /// How long a key is kept after its claim, in milliseconds.
  std::uint64_t WindowMillis = 600'000;
  /// How far the creation time of a key may be ahead of the leader's clock.
  std::uint64_t MaxClockSkewMillis = 60'000;
  std::size_t MaxClaims = 200'000;
  /// The body of a longer answer is not kept; the key is still recorded as
  /// answered.
  std::size_t MaxAnswerBytes = 4096;
  /// Maximum total size of the kept bodies; beyond it, answers are stored
  /// without their body.
  std::size_t MaxTotalAnswerBytes = 64U * 1024 * 1024;
};

/// The part of the replicated state that stores idempotency keys. A key is
/// claimed by one request. It is released if that request was not run.
/// Otherwise its answer, or the fact that the outcome is unknown, is kept until
/// the window has passed. Deterministic: all times are taken from the commands.
class ClaimTable {
public:
  explicit ClaimTable(ClaimTableLimits limits = {}) : Limits(limits) {}

  /// Returns whether the owner's incarnation is a member of the cell.
  using IsMember = std::function<bool(const protocol::ClaimOwner &)>;

  /// Applies the changes in order and returns the results of the claims. `now`
  /// is the leader's wall-clock time in milliseconds. Only members can claim. A
  /// batch is applied at most once; resending the last batch of a sender
  /// returns its results again.
  std::vector<protocol::ClaimResult> apply(const protocol::ClaimBatch &batch,
                                           std::uint64_t now,
                                           const IsMember &isMember);

  /// Sets the outcome of all claims in progress of the entry VM's incarnations
  /// up to this one to unknown, because these incarnations have ended.
  void markClaimsUnknown(const std::string &entry, std::uint64_t incarnation);

  std::size_t size() const { return Records.size(); }

  /// Writes the claims into a snapshot of the cell.
  void save(protocol::CellSnapshot &snapshot) const;
  void restore(const protocol::CellSnapshot &snapshot);

private:
  using ClaimSequence = std::uint64_t;
  struct StoredClaim {
    protocol::ClaimRecord Record;
    ClaimSequence Sequence = 0;
  };

  void applyChanges(const protocol::ClaimBatch &batch, const IsMember &isMember,
                    protocol::ClaimSender &sender);
  protocol::ClaimResult claim(const protocol::ClaimKey &change,
                              const IsMember &isMember);
  protocol::ClaimResult
  resultForExisting(StoredClaim &found, const protocol::ClaimKey &change) const;
  void complete(const protocol::CompleteKey &change);
  void release(const protocol::ReleaseKey &change);
  void insert(protocol::ClaimRecord record);
  void erase(const std::string &name);
  void expire();
  bool isOutsideWindow(std::uint64_t madeAt) const;
  StoredClaim *findOwned(const protocol::ClaimId &id,
                         const protocol::ClaimOwner &owner);

  ClaimTableLimits Limits;
  /// Highest time seen so far. Doesn't decrease when the leader's clock is set
  /// back.
  std::uint64_t Now = 0;
  ClaimSequence NextSequence = 1;
  std::size_t AnswerBytes = 0;
  /// Last applied batch of each entry VM, by the entry VM's name.
  std::map<std::string, protocol::ClaimSender> Senders;
  std::unordered_map<std::string, StoredClaim> Records;
  /// Map keys in the order of the claims, for expiry and snapshots.
  std::map<ClaimSequence, std::string> ClaimOrder;
};

} // namespace masticwinch
