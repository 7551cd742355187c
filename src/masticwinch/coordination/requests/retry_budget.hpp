#pragma once

#include <algorithm>

namespace masticwinch {

/// Bounds second sendings, retries and hedges together, to a share of the first
/// ones, so that a fault is not multiplied into more load.
class RetryBudget {
public:
  RetryBudget(double share, double reserve)
      : Share(share), Reserve(reserve), Tokens(reserve) {}

  /// Counts a first sending.
  void firstSent() { Tokens = std::min(Reserve, Tokens + Share); }

  /// Takes what one more sending costs; false if the budget is spent.
  bool take() {
    if (Tokens < 1) {
      return false;
    }
    Tokens -= 1;
    return true;
  }

private:
  double Share;
  /// Largest number of second sendings in a burst.
  double Reserve;
  double Tokens;
};

} // namespace masticwinch
