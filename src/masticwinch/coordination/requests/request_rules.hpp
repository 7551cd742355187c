#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/profile.pb.h"

#include <cstddef>

namespace masticwinch {

/// Longest deadline of a request, whatever its profile says.
constexpr Milliseconds MaxRequestDeadline{300'000};

/// How one entry VM treats the requests of one profile: the profile's policy
/// with its defaults filled in, and its share of the limits that hold for the
/// whole cell.
struct RequestRules {
  bool Urgent = false;
  unsigned Weight = 1;
  /// Requests at upstreams at a time.
  std::size_t Concurrency = 0;
  /// 0 for no limit.
  double RatePerSecond = 0;
  std::size_t QueueLength = 0;
  Milliseconds QueueTime{0};
  Milliseconds Deadline{0};
  unsigned MaxAttempts = 1;
  bool Repeatable = false;
  /// 0 for no second request beside a slow one.
  Milliseconds HedgeAfter{0};
};

/// Rules for one of `entries` entry VMs that share the limits evenly.
RequestRules rulesOf(const protocol::RequestPolicy &policy,
                     std::size_t entries);

} // namespace masticwinch
