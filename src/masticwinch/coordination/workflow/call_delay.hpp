#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>

namespace masticwinch::workflow {

/// Bounds how long submissions wait in a busy leader's queue.
struct CallDelayOptions {
  /// A new submission that has waited longer is refused: its caller may be gone
  /// before it could be stored and answered, and refusing it shortens the queue
  /// for those behind it.
  Milliseconds MaxDelay{800};
  /// Shortest delay after which a refused submission may be repeated.
  Milliseconds MinRetryAfter{1000};
  /// Range of the jitter added to that, so that callers refused at the same
  /// time don't all retry at the same time.
  Milliseconds RetrySpread{500};
};

/// Returns nothing if a submission that has waited for `delay` can still be
/// accepted, otherwise the delay after which its caller may retry. `salt`
/// differs between submissions.
std::optional<Milliseconds> retryAfterDelay(const CallDelayOptions &options,
                                            Milliseconds delay,
                                            std::uint64_t salt);

} // namespace masticwinch::workflow
