#include "masticwinch/coordination/replication/bootstrap.hpp"

#include <algorithm>

namespace masticwinch::replication {

RecoveredState bootstrapState(Membership initialMembers) {
  std::sort(initialMembers.Members.begin(), initialMembers.Members.end(),
            [](const Member &a, const Member &b) { return a.Id < b.Id; });
  RecoveredState state;
  state.Hard.Term = BootstrapTerm;
  protocol::LogEntry &entry = state.Entries.emplace_back();
  entry.set_index(1);
  entry.set_term(BootstrapTerm);
  entry.set_kind(protocol::MEMBERSHIP);
  entry.set_data(initialMembers.toMessage().SerializeAsString());
  return state;
}

InitialMembership::InitialMembership(Member self,
                                     std::vector<Member> configured)
    : Configured(std::move(configured)) {
  addIdentity(self);
}

void InitialMembership::addIdentity(const Member &member) {
  const bool configured =
      std::any_of(Configured.begin(), Configured.end(), [&](const Member &it) {
        return it.Name == member.Name && it.Address == member.Address;
      });
  if (!configured) {
    return;
  }
  std::erase_if(Known.Members,
                [&](const Member &it) { return it.Name == member.Name; });
  Known.Members.push_back(member);
}

std::optional<Membership> InitialMembership::complete() const {
  if (Known.Members.size() != Configured.size()) {
    return std::nullopt;
  }
  return Known;
}

} // namespace masticwinch::replication
