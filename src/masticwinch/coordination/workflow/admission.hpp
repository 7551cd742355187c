#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>

namespace masticwinch::workflow {

struct AdmissionOptions {
  /// Share of the fleet's cores that work can use at best, in thousandths;
  /// fragmentation by tasks of different sizes leaves the rest idle.
  std::uint64_t UsablePermille = 900;
  /// Share of its slack that a submission may be expected to wait, in
  /// thousandths. The rest is for starts that take longer than estimated: a
  /// step that misses its objective ranks behind all that don't.
  std::uint32_t SlackPermille = 900;
  /// A queue is refused while its overdue work takes longer than this on the
  /// share of the pool that is kept for it.
  Milliseconds MaxOverdueDrain{8000};
  /// Longest retry delay returned to a caller.
  Milliseconds MaxRetryAfter{8000};
  /// Shortest retry delay returned to a caller.
  Milliseconds MinRetryAfter{200};
  /// Jitter added to the retry delay, in thousandths of it, so that callers
  /// refused at the same time don't all retry at the same time.
  std::uint64_t SpreadPermille = 500;
};

/// Input of the admission decision for one submission.
struct AdmissionInput {
  /// Core-milliseconds of accepted work that is scheduled before this
  /// submission.
  std::uint64_t WorkAhead = 0;
  /// Capacity of the usable runners, in thousandths of a core.
  std::uint64_t MilliProcessors = 0;
  /// How long the submission may wait and still complete within its objective.
  Milliseconds Slack{0};
  /// How long the queue's overdue work takes on the share that is kept for it.
  Milliseconds OverdueDrain{0};
  /// Seed of the jitter that differs between submissions, such as a hash of the
  /// id.
  std::uint64_t Salt = 0;
};

/// Longest time that work is said to take. Short enough to be added to a time
/// point.
inline constexpr Milliseconds LongestWait = std::chrono::hours(24) * 365 * 100;

/// How long processors need for work, in core-milliseconds.
Milliseconds processingTime(std::uint64_t work, std::uint64_t milliProcessors);

/// Thousandths of a core that work can use.
std::uint64_t usableProcessors(const AdmissionOptions &options,
                               const AdmissionInput &input);

/// How long a submission may be expected to wait for its start.
Milliseconds waitLimit(const AdmissionOptions &options,
                       const AdmissionInput &input);

/// The delay returned to a caller that may retry after `wait`.
Milliseconds retryDelay(const AdmissionOptions &options, Milliseconds wait,
                        std::uint64_t salt);

/// Returns nothing if a submission can complete within its objective after the
/// work ahead of it, otherwise the delay after which the caller may retry. Load
/// shedding: when more work arrives than the fleet can run, accepting all of it
/// would make all of it late.
std::optional<Milliseconds> retryAfter(const AdmissionOptions &options,
                                       const AdmissionInput &input);

} // namespace masticwinch::workflow
