#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace masticwinch::cell {

class Configuration;

/// An upstream that stopped renewing its announcement.
struct LapsedUpstream {
  std::string Name;
  std::uint64_t Incarnation = 0;
};

/// Tracks, on the leader, when each upstream last renewed its announcement at
/// any entry VM. Soft state: an upstream gets the full lapse time again after a
/// change of leader and after each announcement.
class UpstreamRenewals {
public:
  explicit UpstreamRenewals(Milliseconds lapse) : Lapse(lapse) {}

  /// Discards all state; called when this process becomes leader.
  void becomeLeader(SteadyTime now);

  /// Records the renewals that an entry VM forwarded in its hello.
  void renew(const protocol::EntryHello &hello, SteadyTime now);

  /// Announced upstreams that have not been renewed within the lapse time.
  std::vector<LapsedUpstream> lapsed(const Configuration &configuration,
                                     SteadyTime now);

private:
  struct Renewal {
    std::uint64_t Incarnation = 0;
    /// Configuration revision of the announcement; 0 until it is known.
    std::uint64_t AnnouncedRevision = 0;
    SteadyTime RenewedAt{};
  };

  Milliseconds Lapse;
  std::map<std::string, Renewal> Renewals;
};

} // namespace masticwinch::cell
