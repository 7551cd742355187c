#pragma once

#include "masticwinch/coordination/replication/durable_state.hpp"

namespace masticwinch::replication {

/// Term of the first entry of every cell.
inline constexpr std::uint64_t FoundingTerm = 1;

/// The state with which every founder of a cell starts: a log whose only entry
/// is the founding membership. Equal on all founders, whatever the order in
/// which they are given.
RecoveredState foundingState(Membership founders);

} // namespace masticwinch::replication
