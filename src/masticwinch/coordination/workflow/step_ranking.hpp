#pragma once

#include "masticwinch/common/clock.hpp"

#include <compare>
#include <cstdint>
#include <tuple>

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
  /// Whether the workflow was beyond the rate of its account when submitted.
  bool Excess = false;
};

/// Rank of a waiting step; the smallest is scheduled first. Steps that can
/// still be on time come before late ones, so that under overload work that has
/// missed its objective doesn't make other work miss its objective too. Those
/// of workflows beyond the rate of their account come after all others that
/// still have value.
struct StepRank {
  CompletionForecast Forecast = CompletionForecast::OnTime;
  std::uint32_t Priority = 0;
  /// Time until the step has to start to be on time; negative if it is late.
  Milliseconds Slack{0};
  bool Excess = false;

  bool operator==(const StepRank &) const = default;
  auto operator<=>(const StepRank &other) const {
    return key() <=> other.key();
  }

private:
  std::tuple<bool, CompletionForecast, std::uint32_t, Milliseconds, bool>
  key() const {
    return {Excess || Forecast == CompletionForecast::Missed, Forecast,
            Priority, Slack, Excess};
  }
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
  rank.Excess = terms.Excess;
  if (end <= terms.Objective) {
    rank.Forecast = CompletionForecast::OnTime;
  } else if (end <= LateFactor * terms.Objective) {
    rank.Forecast = CompletionForecast::Late;
  } else {
    rank.Forecast = CompletionForecast::Missed;
  }
  rank.Slack = terms.Objective - end;
  if (policy == RankingPolicy::FirstComeFirstServed) {
    return {CompletionForecast::OnTime, 0, -since, false};
  }
  if (policy == RankingPolicy::Priority) {
    rank.Forecast = CompletionForecast::OnTime;
  }
  return rank;
}

} // namespace masticwinch::workflow
