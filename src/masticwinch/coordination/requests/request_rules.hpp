#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/profile.pb.h"

#include <cstddef>

namespace masticwinch {

/// Maximum deadline of a request, regardless of its profile.
constexpr Milliseconds MaxRequestDeadline{300'000};

/// The rules by which one entry VM handles the requests of a profile: the
/// profile's policy with defaults filled in, and this entry VM's share of the
/// limits of the whole cell.
struct RequestRules {
  bool Urgent = false;
  unsigned Weight = 1;
  /// Maximum number of open dispatches.
  std::size_t Concurrency = 0;
  /// 0 for no limit.
  double RatePerSecond = 0;
  std::size_t QueueLength = 0;
  Milliseconds QueueTime{0};
  Milliseconds Deadline{0};
  unsigned MaxAttempts = 1;
  bool Repeatable = false;
  /// Delay before a hedged request is sent; 0 for no hedging.
  Milliseconds HedgeAfter{0};
};

/// Returns the rules for one of `entries` entry VMs that share the limits
/// evenly.
RequestRules rulesOf(const protocol::RequestPolicy &policy,
                     std::size_t entries);

} // namespace masticwinch
