#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/step_ranking.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <cstdint>
#include <string>

namespace masticwinch::workflow {

/// Where a submission ranks by its work among the recent ones of its queue.
enum class SizeClass : std::uint8_t { LargestTenth, NextFifth, Rest };

/// What became of a submission, by its objective.
enum class OutcomeKind : std::uint8_t {
  /// Completed within its objective.
  OnTime,
  /// Completed within `LateFactor` times its objective.
  Late,
  /// Completed later.
  Missed,
  Failed,
  Cancelled,
  Refused,
};

/// An outcome to be counted.
struct WorkflowOutcome {
  std::string Queue;
  SizeClass Size = SizeClass::Rest;
  OutcomeKind Kind = OutcomeKind::OnTime;

  auto operator<=>(const WorkflowOutcome &) const = default;
};

/// The outcome of a workflow that has ended in this phase.
inline OutcomeKind outcomeOf(Phase phase, Milliseconds took,
                             Milliseconds objective) {
  if (phase == Phase::Cancelled) {
    return OutcomeKind::Cancelled;
  }
  if (phase != Phase::Completed) {
    return OutcomeKind::Failed;
  }
  if (took <= objective) {
    return OutcomeKind::OnTime;
  }
  return took <= LateFactor * objective ? OutcomeKind::Late
                                        : OutcomeKind::Missed;
}

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::SizeClass> {
  using Size = workflow::SizeClass;
  static constexpr std::array Table{
      EnumName<Size>{Size::LargestTenth, "largest_tenth"},
      EnumName<Size>{Size::NextFifth, "next_fifth"},
      EnumName<Size>{Size::Rest, "rest"}};
};

template <> struct EnumNames<workflow::OutcomeKind> {
  using Kind = workflow::OutcomeKind;
  static constexpr std::array Table{
      EnumName<Kind>{Kind::OnTime, "on_time"},
      EnumName<Kind>{Kind::Late, "late"},
      EnumName<Kind>{Kind::Missed, "missed"},
      EnumName<Kind>{Kind::Failed, "failed"},
      EnumName<Kind>{Kind::Cancelled, "cancelled"},
      EnumName<Kind>{Kind::Refused, "refused"}};
};

} // namespace masticwinch
