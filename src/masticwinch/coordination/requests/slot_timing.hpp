#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// Times that the leases of upstream slots depend on; equal on all entry VMs.
struct SlotTiming {
  /// How long a grant lasts, from the sending of its demand. Holders keep their
  /// slots while an owner that fell silent is replaced: it outlasts two
  /// renewals, the serving lease that the leader gives (1.5 s with its drift
  /// bound 1.65 s) and the commit of the change.
  Milliseconds Lease{3000};
  /// Added on the granting side for clock drift and for the closing of
  /// connections after a timeout.
  Milliseconds SafetyMargin{250};
  /// How long an entry VM may serve after it last heard from the leader.
  Milliseconds ServingLease{3000};
  /// How often a holder renews.
  Milliseconds RenewalInterval{300};
  /// Shortest time between two demands to one owner.
  Milliseconds DemandInterval{2};
};

} // namespace masticwinch
