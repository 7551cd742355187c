#include "masticwinch/coordination/workflow/call_delay.hpp"

#include <algorithm>

namespace masticwinch::workflow {

std::optional<Milliseconds> retryAfterDelay(const CallDelayOptions &options,
                                            Milliseconds delay,
                                            std::uint64_t salt) {
  if (delay <= options.MaxDelay) {
    return std::nullopt;
  }
  const auto spread = static_cast<std::uint64_t>(
      std::max(options.RetrySpread, Milliseconds(1)).count());
  return options.MinRetryAfter + Milliseconds(salt % spread);
}

} // namespace masticwinch::workflow
