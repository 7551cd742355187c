#include "masticwinch/coordination/cell/upstream_renewals.hpp"

#include "masticwinch/coordination/cell/configuration.hpp"

namespace masticwinch::cell {

void UpstreamRenewals::becomeLeader(SteadyTime) { Renewals.clear(); }

void UpstreamRenewals::renew(const protocol::EntryHello &hello,
                             SteadyTime now) {
  for (const protocol::UpstreamRenewal &it : hello.renewals()) {
    Renewal &renewal = Renewals[it.name()];
    if (it.incarnation() >= renewal.Incarnation) {
      renewal.Incarnation = it.incarnation();
      renewal.RenewedAt = now;
    }
  }
}

std::vector<LapsedUpstream>
UpstreamRenewals::lapsed(const Configuration &configuration, SteadyTime now) {
  std::vector<LapsedUpstream> found;
  for (const protocol::ConfigItem *it :
       configuration.present(ConfigKind::Upstream)) {
    const protocol::Upstream &upstream = it->upstream();
    Renewal &renewal = Renewals[upstream.name()];
    if (renewal.AnnouncedRevision != it->revision()) {
      renewal = {upstream.incarnation(), it->revision(), now};
    }
    if (now - renewal.RenewedAt > Lapse) {
      found.push_back({upstream.name(), upstream.incarnation()});
    }
  }
  return found;
}

} // namespace masticwinch::cell
