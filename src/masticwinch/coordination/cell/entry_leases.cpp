#include "masticwinch/coordination/cell/entry_leases.hpp"

#include "masticwinch/coordination/cell/configuration.hpp"

#include <algorithm>

namespace masticwinch::cell {

void EntryLeases::becomeLeader(SteadyTime now) {
  LeaderSince = now;
  Members.clear();
}

void EntryLeases::hello(const HeardEntry &entry, SteadyTime now) {
  Members[entry.Name] = {entry.Incarnation, entry.Revision, now};
}

const EntryLeases::Member *
EntryLeases::find(const protocol::EntryMember &entry) const {
  const auto it = Members.find(entry.name());
  const bool known =
      it != Members.end() && it->second.Incarnation == entry.incarnation();
  return known ? &it->second : nullptr;
}

SteadyTime EntryLeases::lastHeard(const protocol::EntryMember &entry) const {
  const Member *member = find(entry);
  return member == nullptr ? LeaderSince : member->LastHello;
}

bool EntryLeases::mayServe(const protocol::EntryMember &entry,
                           SteadyTime now) const {
  return now - lastHeard(entry) <= Options.Lease + Options.DriftBound;
}

std::vector<LapsedEntry> EntryLeases::lapsed(const Configuration &configuration,
                                             SteadyTime now) const {
  std::vector<LapsedEntry> found;
  for (const protocol::ConfigItem *it :
       configuration.present(ConfigKind::Entry)) {
    if (now - lastHeard(it->entry()) > Options.Lapse) {
      found.push_back({it->entry().name(), it->entry().incarnation()});
    }
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
    const SteadyTime heard = lastHeard(it->entry());
    protocol::EntryStatus *status = reply.add_entries();
    status->set_name(it->entry().name());
    status->set_revision(member ? member->Revision : 0);
    status->set_serving(mayServe(it->entry(), now));
    status->set_last_heard_ms_ago(static_cast<std::uint64_t>(
        std::chrono::duration_cast<Milliseconds>(now - heard).count()));
    if (status->serving()) {
      lowest = std::min(lowest, status->revision());
    }
  }
  reply.set_in_force_revision(lowest);
  return reply;
}

} // namespace masticwinch::cell
