#pragma once

#include "masticwinch/common/clock.hpp"

#include <compare>
#include <cstdint>

namespace masticwinch::workflow {

/// What can still be reached for a workflow.
enum class CompletionForecast : std::uint8_t {
  /// It can end within its objective.
  OnTime,
  /// It can end within three times its objective.
  Late,
  /// It can't end in time any more.
  Missed,
};

/// In which order waiting steps are tried.
enum class RankingPolicy : std::uint8_t {
  FirstComeFirstServed,
  /// By priority, then by time left.
  Priority,
  /// Those that can be on time first, then by priority and time left.
  OnTimeFirst,
};

/// When a workflow was accepted and until when its end is of use.
struct RankingInput {
  SteadyTime Accepted{};
  /// Stretch times the longest chain of work, and the latency target more.
  Milliseconds Objective{0};
  std::uint32_t Priority = 0;
};

/// Rank of a waiting step; the smallest goes first. Steps that can still be on
/// time come before those that are late anyway, so that in a surge work that
/// has missed its objective doesn't make the rest miss theirs.
struct StepRank {
  CompletionForecast Forecast = CompletionForecast::OnTime;
  std::uint32_t Priority = 0;
  /// Time left before the step has to start to be on time.
  Milliseconds Slack{0};

  auto operator<=>(const StepRank &) const = default;
};

/// An end later than this many objectives is of no use.
inline constexpr int LateFactor = 3;

/// Rank of a step from which on the workflow's work takes `remaining`.
inline StepRank rankOf(const RankingInput &terms, Milliseconds remaining,
                       SteadyTime now,
                       RankingPolicy policy = RankingPolicy::OnTimeFirst) {
  const auto since =
      std::chrono::duration_cast<Milliseconds>(now - terms.Accepted);
  const Milliseconds end = since + remaining;
  StepRank rank;
  rank.Priority = terms.Priority;
  if (end <= terms.Objective) {
    rank.Forecast = CompletionForecast::OnTime;
  } else if (end <= LateFactor * terms.Objective) {
    rank.Forecast = CompletionForecast::Late;
  } else {
    rank.Forecast = CompletionForecast::Missed;
  }
  rank.Slack = terms.Objective - end;
  if (policy == RankingPolicy::FirstComeFirstServed) {
    return {CompletionForecast::OnTime, 0, -since};
  }
  if (policy == RankingPolicy::Priority) {
    rank.Forecast = CompletionForecast::OnTime;
  }
  return rank;
}

} // namespace masticwinch::workflow
