#include "masticwinch/coordination/workflow/admission.hpp"

#include "masticwinch/common/saturating.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

constexpr std::uint64_t MilliPerCore = 1000;

} // namespace

Milliseconds processingTime(std::uint64_t work, std::uint64_t milliProcessors) {
  return Milliseconds(
      std::min(saturatingMultiply(work, MilliPerCore) / milliProcessors,
               static_cast<std::uint64_t>(LongestWait.count())));
}

std::uint64_t usableProcessors(const AdmissionOptions &options,
                               const AdmissionInput &input) {
  return input.MilliProcessors * options.UsablePermille / 1000;
}

Milliseconds waitLimit(const AdmissionOptions &options,
                       const AdmissionInput &input) {
  return input.Slack * options.SlackPermille / 1000;
}

Milliseconds retryDelay(const AdmissionOptions &options, Milliseconds wait,
                        std::uint64_t salt) {
  const Milliseconds base =
      std::clamp(wait, options.MinRetryAfter, options.MaxRetryAfter);
  const std::uint64_t spread =
      static_cast<std::uint64_t>(base.count()) * options.SpreadPermille / 1000;
  return base + Milliseconds(spread == 0 ? 0 : salt % spread);
}

std::optional<Milliseconds> retryAfter(const AdmissionOptions &options,
                                       const AdmissionInput &input) {
  const std::uint64_t usable = usableProcessors(options, input);
  if (usable == 0) {
    return options.MaxRetryAfter / 2;
  }
  const Milliseconds wait = processingTime(input.WorkAhead, usable);
  const Milliseconds excess = std::max(
      wait - input.Slack, input.OverdueDrain - options.MaxOverdueDrain);
  if (excess <= Milliseconds(0)) {
    return std::nullopt;
  }
  return retryDelay(options, excess, input.Salt);
}

} // namespace masticwinch::workflow
