#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

namespace masticwinch::replication {

/// Term of the first entry of every cell.
inline constexpr std::uint64_t FoundingTerm = 1;

/// The state with which every founder of a cell starts: a log whose only entry
/// is the founding membership. Equal on all founders, whatever the order in
/// which they are given.
RecoveredState foundingState(Membership founders);

/// Collects the identities of a cell's founders. A cell is founded only when
/// every replica that the settings list has said that its folder is empty, so
/// that a wiped VM can't start a second history.
class FounderList {
public:
  /// `listed` are the names and addresses of all founders; `self` is one.
  FounderList(Member self, std::vector<Member> listed);

  /// Takes in that a replica stated its identity and an empty folder. One that
  /// is not listed with this name and address is ignored.
  void greeted(const Member &founder);

  /// The founding membership, once every founder is known.
  std::optional<Membership> complete() const;

private:
  std::vector<Member> Listed;
  Membership Known;
};

} // namespace masticwinch::replication
