#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// Times for the leases of upstream slots; they must be equal on all entry VMs.
struct SlotTiming {
  /// Duration of a grant, counted from the time when its demand was sent.
  /// Holders keep their slots while a silent owner is replaced, so the lease
  /// must be longer than two renewal intervals, the serving lease granted by
  /// the leader (1.5 s; 1.65 s with the drift bound) and the commit of the
  /// change together.
  Milliseconds Lease{3000};
  /// Added by the owner to allow for clock drift and for closing connections
  /// after a timeout.
  Milliseconds SafetyMargin{250};
  /// How long an entry VM may serve after it last heard from the leader.
  Milliseconds ServingLease{3000};
  /// Interval at which a holder renews its leases.
  Milliseconds RenewalInterval{300};
  /// Minimum interval between two demands to the same owner.
  Milliseconds DemandInterval{2};
};

} // namespace masticwinch
