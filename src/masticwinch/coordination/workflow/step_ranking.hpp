#pragma once

#include "masticwinch/common/clock.hpp"

#include <compare>
#include <cstdint>

namespace masticwinch::workflow {

/// When a workflow is expected to complete, relative to its objective.
enum class CompletionForecast : std::uint8_t {
  /// It can complete within its objective.
  OnTime,
  /// It can complete within three times its objective.
  Late,
  /// It can't complete within three times its objective.
  Missed,
};

/// How waiting steps are ranked for scheduling.
enum class RankingPolicy : std::uint8_t {
  FirstComeFirstServed,
  /// By priority, then by slack.
  Priority,
  /// Steps that can be on time first, then by priority and slack.
  OnTimeFirst,
};

/// What the rank of a workflow's steps depends on.
struct RankingInput {
  SteadyTime Accepted{};
  /// Stretch times the critical path, plus the latency target.
  Milliseconds Objective{0};
  std::uint32_t Priority = 0;
};

/// Rank of a waiting step; the smallest is scheduled first. Steps that can
/// still be on time come before late ones, so that under overload work that has
/// missed its objective doesn't make other work miss its objective too.
struct StepRank {
  CompletionForecast Forecast = CompletionForecast::OnTime;
  std::uint32_t Priority = 0;
  /// Priority of the client account; 0 while there is capacity for all.
  std::uint32_t AccountPriority = 0;
  /// How far the client account is above its share; 0 if it isn't, or while
  /// there is capacity for all.
  std::uint32_t AboveShare = 0;
  /// Time until the step has to start to be on time; negative if it is late.
  Milliseconds Slack{0};

  auto operator<=>(const StepRank &) const = default;
};

/// A workflow that completes after more than this multiple of its objective has
/// no value.
inline constexpr int LateFactor = 3;

/// Rank of a step whose remaining critical path, including itself, takes
/// `remaining`.
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
    StepRank first;
    first.Slack = -since;
    return first;
  }
  if (policy == RankingPolicy::Priority) {
    rank.Forecast = CompletionForecast::OnTime;
  }
  return rank;
}

} // namespace masticwinch::workflow
