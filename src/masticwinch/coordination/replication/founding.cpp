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

FounderList::FounderList(Member self, std::vector<Member> listed)
    : Listed(std::move(listed)) {
  greeted(self);
}

void FounderList::greeted(const Member &founder) {
  const bool listed =
      std::any_of(Listed.begin(), Listed.end(), [&](const Member &it) {
        return it.Name == founder.Name && it.Address == founder.Address;
      });
  if (!listed) {
    return;
  }
  std::erase_if(Known.Members,
                [&](const Member &it) { return it.Name == founder.Name; });
  Known.Members.push_back(founder);
}

std::optional<Membership> FounderList::complete() const {
  if (Known.Members.size() != Listed.size()) {
    return std::nullopt;
  }
  return Known;
}

} // namespace masticwinch::replication
