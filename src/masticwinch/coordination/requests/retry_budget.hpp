#pragma once

#include <algorithm>

namespace masticwinch {

/// Limits retries and hedged requests together to a ratio of the first
/// attempts, so that faults don't multiply the load.
class RetryBudget {
public:
  RetryBudget(double ratio, double maxTokens)
      : Ratio(ratio), MaxTokens(maxTokens), Tokens(maxTokens) {}

  /// Records a first attempt.
  void recordFirstAttempt() { Tokens = std::min(MaxTokens, Tokens + Ratio); }

  /// Takes the token for one retry or hedged request; returns false if the
  /// budget is exhausted.
  bool take() {
    if (Tokens < 1) {
      return false;
    }
    Tokens -= 1;
    return true;
  }

private:
  double Ratio;
  /// Maximum number of retries and hedged requests in a burst.
  double MaxTokens;
  double Tokens;
};

} // namespace masticwinch
