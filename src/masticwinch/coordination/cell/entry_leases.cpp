#include "masticwinch/coordination/cell/entry_leases.hpp"

#include "masticwinch/coordination/cell/configuration.hpp"

#include <algorithm>

namespace masticwinch::cell {

void EntryLeases::becomeLeader(SteadyTime now) {
  LeaderSince = now;
  Members.clear();
  Joins.clear();
}

void EntryLeases::joined(const std::string &name, SteadyTime now) {
  Joins[name] = now;
}

void EntryLeases::hello(const ReceivedHello &entry, SteadyTime now) {
  Member &member = Members[entry.Name];
  const bool uninterrupted = member.Incarnation == entry.Incarnation &&
                             now - member.LastHello <= Options.Lease;
  const SteadyTime since = uninterrupted ? member.StableSince : now;
  member = {entry.Incarnation, entry.Revision, now, since};
}

const EntryLeases::Member *
EntryLeases::find(const protocol::EntryMember &entry) const {
  const auto it = Members.find(entry.name());
  const bool known =
      it != Members.end() && it->second.Incarnation == entry.incarnation();
  return known ? &it->second : nullptr;
}

SteadyTime EntryLeases::lastContact(const protocol::EntryMember &entry) const {
  const Member *member = find(entry);
  return member == nullptr ? LeaderSince : member->LastHello;
}

SteadyTime EntryLeases::silentSince(const protocol::EntryMember &entry) const {
  const SteadyTime contactAt = lastContact(entry);
  const auto join = Joins.find(entry.name());
  return join == Joins.end() ? contactAt : std::max(contactAt, join->second);
}

bool EntryLeases::mayServe(const protocol::EntryMember &entry,
                           SteadyTime now) const {
  return now - lastContact(entry) <= Options.Lease + Options.DriftBound;
}

std::vector<LapsedEntry> EntryLeases::lapsed(const Configuration &configuration,
                                             SteadyTime now) const {
  std::vector<LapsedEntry> found;
  for (const protocol::ConfigItem *it :
       configuration.present(ConfigKind::Entry)) {
    if (now - silentSince(it->entry()) > Options.Lapse) {
      found.push_back({it->entry().name(), it->entry().incarnation()});
    }
  }
  return found;
}

bool EntryLeases::isStable(const protocol::EntryMember &entry,
                           SteadyTime now) const {
  const Member *member = find(entry);
  return member != nullptr && mayServe(entry, now) &&
         now - member->StableSince >= Options.StabilityPeriod;
}

std::vector<OwnershipChange>
EntryLeases::ownershipChanges(const Configuration &configuration,
                              SteadyTime now) const {
  std::vector<OwnershipChange> found;
  bool hasSuccessor = false;
  for (const protocol::ConfigItem *it :
       configuration.present(ConfigKind::Entry)) {
    const protocol::EntryMember &entry = it->entry();
    const bool serves = mayServe(entry, now);
    hasSuccessor |= serves && !entry.leaving() && !entry.yielded();
    const bool silent =
        now - silentSince(entry) > Options.Lease + Options.DriftBound;
    if (!entry.yielded() && silent) {
      found.push_back({entry.name(), entry.incarnation(), true});
    } else if (entry.yielded() && isStable(entry, now)) {
      found.push_back({entry.name(), entry.incarnation(), false});
    }
  }
  if (!hasSuccessor) {
    std::erase_if(found, [](const auto &it) { return it.Yielded; });
  }
  return found;
}

protocol::InForceReply EntryLeases::inForce(const Configuration &configuration,
                                            SteadyTime now) const {
  protocol::InForceReply reply;
  reply.set_accepted_revision(configuration.revision());
  std::uint64_t lowest = configuration.revision();
  for (const protocol::ConfigItem *it :
       configuration.present(ConfigKind::Entry)) {
    const Member *member = find(it->entry());
    const SteadyTime contactAt = lastContact(it->entry());
    protocol::EntryStatus *status = reply.add_entries();
    status->set_name(it->entry().name());
    status->set_revision(member ? member->Revision : 0);
    status->set_serving(mayServe(it->entry(), now));
    status->set_last_heard_ms_ago(static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(now - contactAt).count()));
    if (status->serving()) {
      lowest = std::min(lowest, status->revision());
    }
  }
  reply.set_in_force_revision(lowest);
  return reply;
}

} // namespace masticwinch::cell
