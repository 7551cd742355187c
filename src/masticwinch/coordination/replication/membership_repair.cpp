#include "masticwinch/coordination/replication/membership_repair.hpp"

#include <algorithm>

namespace masticwinch::replication {

namespace {

using Health = std::map<ReplicaId, MemberHealth>;

MemberHealth healthOf(const Health &health, ReplicaId id) {
  const auto it = health.find(id);
  return it == health.end() ? MemberHealth() : it->second;
}

/// Returns a member whose name is now used by a candidate with another
/// identity.
const Member *superseded(const Membership &membership, ReplicaId self,
                         const std::vector<Member> &candidates) {
  for (const Member &it : candidates) {
    const Member *member = membership.findByName(it.Name);
    if (member && member->Id != it.Id && member->Id != self) {
      return member;
    }
  }
  return nullptr;
}

const Member *longestUnresponsive(const Membership &membership, ReplicaId self,
                                  const Health &health, bool learner,
                                  std::uint64_t rounds) {
  const Member *found = nullptr;
  for (const Member &it : membership.Members) {
    const std::uint64_t missed = healthOf(health, it.Id).MissedRounds;
    if (it.Learner == learner && it.Id != self && missed >= rounds &&
        (!found || missed > healthOf(health, found->Id).MissedRounds)) {
      found = &it;
    }
  }
  return found;
}

const Member *caughtUpLearner(const Membership &membership,
                              const Health &health) {
  const auto it = std::find_if(
      membership.Members.begin(), membership.Members.end(),
      [&](const Member &member) {
        return member.Learner && healthOf(health, member.Id).CaughtUp;
      });
  return it == membership.Members.end() ? nullptr : &*it;
}

} // namespace

std::optional<RepairStep> nextRepair(const RepairOptions &options,
                                     const Membership &membership,
                                     ReplicaId self, const Health &health,
                                     const std::vector<Member> &candidates) {
  if (const Member *it = superseded(membership, self, candidates)) {
    return RepairStep{RepairKind::Remove, *it};
  }
  if (const Member *learner = caughtUpLearner(membership, health)) {
    if (membership.voterCount() < options.TargetVoters) {
      return RepairStep{RepairKind::Promote, *learner};
    }
    if (const Member *unresponsive = longestUnresponsive(
            membership, self, health, false, options.UnresponsiveVoterRounds)) {
      return RepairStep{RepairKind::Remove, *unresponsive};
    }
  }
  for (const Member &it : candidates) {
    if (!membership.find(it.Id)) {
      return RepairStep{RepairKind::Add, it};
    }
  }
  if (const Member *unresponsive = longestUnresponsive(
          membership, self, health, true, options.UnresponsiveLearnerRounds)) {
    return RepairStep{RepairKind::Remove, *unresponsive};
  }
  return std::nullopt;
}

} // namespace masticwinch::replication
