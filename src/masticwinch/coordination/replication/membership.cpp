#include "masticwinch/coordination/replication/membership.hpp"

#include "masticwinch/protocol/replication.pb.h"

#include <algorithm>

namespace masticwinch::replication {

const Member *Membership::find(ReplicaId id) const {
  const auto it =
      std::find_if(Members.begin(), Members.end(),
                   [&](const Member &member) { return member.Id == id; });
  return it == Members.end() ? nullptr : &*it;
}

const Member *Membership::findByName(const std::string &name) const {
  const auto it =
      std::find_if(Members.begin(), Members.end(),
                   [&](const Member &member) { return member.Name == name; });
  return it == Members.end() ? nullptr : &*it;
}

bool Membership::isVoter(ReplicaId id) const {
  const Member *member = find(id);
  return member && !member->Learner;
}

std::size_t Membership::voterCount() const {
  return static_cast<std::size_t>(
      std::count_if(Members.begin(), Members.end(),
                    [](const Member &member) { return !member.Learner; }));
}

protocol::ReplicaMembership Membership::toMessage() const {
  protocol::ReplicaMembership message;
  for (const Member &it : Members) {
    protocol::ReplicaMember *member = message.add_members();
    member->set_id_high(it.Id.High);
    member->set_id_low(it.Id.Low);
    member->set_name(it.Name);
    member->set_address(it.Address);
    member->set_data_center(it.DataCenter);
    member->set_learner(it.Learner);
  }
  return message;
}

Membership Membership::fromMessage(const protocol::ReplicaMembership &message) {
  Membership membership;
  for (const protocol::ReplicaMember &it : message.members()) {
    membership.Members.push_back({{it.id_high(), it.id_low()},
                                  it.name(),
                                  it.address(),
                                  it.data_center(),
                                  it.learner()});
  }
  return membership;
}

std::optional<Membership> Membership::parse(const std::string &bytes) {
  protocol::ReplicaMembership message;
  if (!message.ParseFromString(bytes)) {
    return std::nullopt;
  }
  return fromMessage(message);
}

} // namespace masticwinch::replication
