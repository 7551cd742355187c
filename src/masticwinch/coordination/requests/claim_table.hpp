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

/// Bounds of the table of idempotency keys. All replicas use the same.
struct ClaimTableLimits {
  /// How long a key is remembered after its claim, in milliseconds.
  std::uint64_t WindowMillis = 600'000;
  /// How far ahead of the leader's clock a key's own time may be.
  std::uint64_t MaxClockSkewMillis = 60'000;
  std::size_t MaxClaims = 200'000;
  /// A longer answer is remembered as answered, without its body.
  std::size_t MaxAnswerBytes = 4096;
  /// Bodies kept in all; beyond it, answers are remembered without.
  std::size_t MaxTotalAnswerBytes = 64U * 1024 * 1024;
};

/// The part of the replicated state that remembers idempotency keys. A key is
/// claimed by one request; it is released when that request was not run, and
/// otherwise keeps the answer, or that the outcome is unknown, until the window
/// has passed. Deterministic: time comes with the commands.
class ClaimTable {
public:
  explicit ClaimTable(ClaimTableLimits limits = {}) : Limits(limits) {}

  /// Tells whether an entry VM's incarnation is a member of the cell.
  using IsMember = std::function<bool(const protocol::ClaimOwner &)>;

  /// Applies the changes in order and gives the results of its claims. `now` is
  /// the leader's wall time in milliseconds. Only members can claim. A batch
  /// that was applied before isn't applied again; its results are given if it
  /// was its sender's last.
  std::vector<protocol::ClaimResult> apply(const protocol::ClaimBatch &batch,
                                           std::uint64_t now,
                                           const IsMember &isMember);

  /// The entry VM's incarnations up to this one ended without finishing their
  /// claims: the outcomes are unknown.
  void markClaimsUnknown(const std::string &entry, std::uint64_t incarnation);

  std::size_t size() const { return Records.size(); }

  /// Writes the table's part of a snapshot of the cell.
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
  /// Highest time seen; never goes back with the leader's clock.
  std::uint64_t Now = 0;
  ClaimSequence NextSequence = 1;
  std::size_t AnswerBytes = 0;
  /// Last applied batch of each entry VM, by name.
  std::map<std::string, protocol::ClaimSender> Senders;
  std::unordered_map<std::string, StoredClaim> Records;
  /// Names by the order of their claims, for expiry and snapshots.
  std::map<ClaimSequence, std::string> ClaimOrder;
};

} // namespace masticwinch
