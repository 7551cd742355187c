#include "masticwinch/coordination/replication/founding.hpp"

#include <algorithm>

namespace masticwinch::replication {

RecoveredState foundingState(Membership founders) {
  std::sort(founders.Members.begin(), founders.Members.end(),
            [](const Member &a, const Member &b) { return a.Id < b.Id; });
  RecoveredState state;
  state.Hard.Term = FoundingTerm;
  protocol::LogEntry &entry = state.Entries.emplace_back();
  entry.set_index(1);
  entry.set_term(FoundingTerm);
  entry.set_kind(protocol::MEMBERSHIP);
  entry.set_data(founders.toMessage().SerializeAsString());
  return state;
}

} // namespace masticwinch::replication
