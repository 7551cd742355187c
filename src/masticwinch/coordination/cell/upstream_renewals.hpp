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

/// The leader's account of when each upstream last renewed its announcement at
/// any entry VM. Soft state: a new leader gives every upstream the whole time
/// again.
class UpstreamRenewals {
public:
  explicit UpstreamRenewals(Milliseconds lapse) : Lapse(lapse) {}

  /// Forgets what was known; called when this process becomes leader.
  void becomeLeader(SteadyTime now);

  /// Records the renewals that an entry VM passes on.
  void renew(const protocol::EntryHello &hello, SteadyTime now);

  /// Announced upstreams whose renewals have stopped.
  std::vector<LapsedUpstream> lapsed(const Configuration &configuration,
                                     SteadyTime now);

private:
  struct Renewal {
    std::uint64_t Incarnation = 0;
    SteadyTime RenewedAt{};
  };

  Milliseconds Lapse;
  std::map<std::string, Renewal> Renewals;
};

} // namespace masticwinch::cell
