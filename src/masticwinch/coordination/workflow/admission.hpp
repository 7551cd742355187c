#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstdint>
#include <optional>

namespace masticwinch::workflow {

struct AdmissionOptions {
  /// Share of the fleet's cores that work can use at best, in thousandths:
  /// tasks of several sizes leave gaps.
  std::uint64_t UsablePermille = 900;
  /// Longest time that callers are told to stay away.
  Milliseconds MaxRetryAfter{8000};
  /// Shortest such time.
  Milliseconds MinRetryAfter{200};
  /// Returns are spread over this share of the time, in thousandths, so that
  /// callers who were refused together don't come back together.
  std::uint64_t SpreadPermille = 500;
};

/// What a decision about one submission depends on.
struct AdmissionInput {
  /// Core-milliseconds of accepted work that goes before this.
  std::uint64_t WorkAhead = 0;
  /// Thousandths of a core of the runners that can be used.
  std::uint64_t MilliProcessors = 0;
  /// How long this may wait and still end within its objective.
  Milliseconds Slack{0};
  /// Number that differs between submissions, such as a hash of the id.
  std::uint64_t Salt = 0;
};

/// Decides whether a submission can end within its objective if it waits for
/// the work ahead of it, and if not, when the caller may come back. Answers
/// surges in which more work arrives than the fleet has room for: accepting all
/// of it would make all of it late.
std::optional<Milliseconds> retryAfter(const AdmissionOptions &options,
                                       const AdmissionInput &input);

} // namespace masticwinch::workflow
