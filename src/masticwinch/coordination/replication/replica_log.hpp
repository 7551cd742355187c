#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace masticwinch::replication {

/// The part of the log that is held in memory, with the memberships that its
/// entries bring. Indexes start at 1.
class ReplicaLog {
public:
  explicit ReplicaLog(const RecoveredState &recovered);

  std::uint64_t firstIndex() const { return BaseIndex + 1; }
  std::uint64_t lastIndex() const { return BaseIndex + Entries.size(); }
  std::uint64_t lastTerm() const;

  /// Term of the entry at an index; nothing if the log doesn't hold it.
  std::optional<std::uint64_t> termAt(std::uint64_t index) const;

  /// The entry at an index between `firstIndex` and `lastIndex`.
  const protocol::LogEntry &at(std::uint64_t index) const;

  /// First index at or below `index` from which on the term stays the same.
  std::uint64_t firstIndexOfTerm(std::uint64_t index) const;

  void append(protocol::LogEntry entry);

  /// Drops the entry at `index` and all above.
  void truncateFrom(std::uint64_t index);

  /// Drops entries up to `index` from memory.
  void discardThrough(std::uint64_t index);

  /// Empties the log; it goes on after the snapshot.
  void resetTo(const Snapshot &snapshot);

  /// Membership of the last entry that changed it, committed or not.
  const Membership &membership() const { return Memberships.back().Value; }

  /// Membership in force at an index.
  const Membership &membershipAt(std::uint64_t index) const;

  /// Index of the entry that brought `membership()`.
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
