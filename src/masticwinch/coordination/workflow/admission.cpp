#include "masticwinch/coordination/workflow/admission.hpp"

#include <algorithm>

namespace masticwinch::workflow {

std::optional<Milliseconds> retryAfter(const AdmissionOptions &options,
                                       const AdmissionInput &input) {
  const std::uint64_t usable =
      input.MilliProcessors * options.UsablePermille / 1000;
  if (usable == 0) {
    return options.MaxRetryAfter / 2;
  }
  const Milliseconds wait(input.WorkAhead * 1000 / usable);
  if (wait <= input.Slack) {
    return std::nullopt;
  }
  const Milliseconds base = std::clamp(
      wait - input.Slack, options.MinRetryAfter, options.MaxRetryAfter);
  const std::uint64_t spread =
      static_cast<std::uint64_t>(base.count()) * options.SpreadPermille / 1000;
  return base + Milliseconds(spread == 0 ? 0 : input.Salt % spread);
}

} // namespace masticwinch::workflow
