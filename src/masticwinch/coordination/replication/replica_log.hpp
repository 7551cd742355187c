#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace masticwinch::replication {

/// In-memory part of the log, with the memberships that its entries define.
/// Indexes start at 1.
class ReplicaLog {
public:
  explicit ReplicaLog(const RecoveredState &recovered);

  std::uint64_t firstIndex() const { return BaseIndex + 1; }
  std::uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  std::uint64_t lastTerm() const;

  /// Term of the entry at an index; nothing if the index is not in the log.
  std::optional<std::uint64_t> termAt(std::uint64_t index) const;

  /// Entry at an index between `firstIndex` and `lastIndex`.
  const protocol::LogEntry &at(std::uint64_t index) const;

  /// First index of the contiguous run of entries that have the same term as
  /// the entry at `index`.
  std::uint64_t firstIndexOfTerm(std::uint64_t index) const;

  void append(protocol::LogEntry entry);

  /// Removes the entry at `index` and all later ones.
  void truncateFrom(std::uint64_t index);

  /// Discards entries up to `index` from memory.
  void discardThrough(std::uint64_t index);

  /// Empties the log; the next entry follows the snapshot.
  void resetTo(const Snapshot &snapshot);

  /// Membership set by the latest membership entry, committed or not.
  const Membership &membership() const { return Memberships.back().Value; }

  /// Membership in effect at an index.
  const Membership &membershipAt(std::uint64_t index) const;

  /// Index of the entry that set `membership()`.
  std::uint64_t membershipIndex() const { return Memberships.back().Index; }

private:
  struct MembershipAt {
    std::uint64_t Index = 0;
    Membership Value;
  };

  void noteMembership(const protocol::LogEntry &entry);

  std::uint64_t BaseIndex;
  std::uint64_t BaseTerm;
  std::deque<protocol::LogEntry> Entries;
  /// Never empty; ordered by index.
  std::vector<MembershipAt> Memberships;
};

} // namespace masticwinch::replication
