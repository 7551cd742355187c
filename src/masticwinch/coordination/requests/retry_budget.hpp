#pragma once

#include <algorithm>

namespace masticwinch {

/// Bounds second sendings, retries and hedges together, to a share of the first
/// ones, so that a fault is not multiplied into more load.
class RetryBudget {
public:
  RetryBudget(double ratio, double maxTokens)
      : Ratio(ratio), MaxTokens(maxTokens), Tokens(maxTokens) {}

  /// Counts a first sending.
  void recordFirstAttempt() { Tokens = std::min(MaxTokens, Tokens + Ratio); }

  /// Takes what one more sending costs; false if the budget is spent.
  bool take() {
    if (Tokens < 1) {
      return false;
    }
    Tokens -= 1;
    return true;
  }

private:
  double Ratio;
  /// Largest number of second sendings in a burst.
  double MaxTokens;
  double Tokens;
};

} // namespace masticwinch
