#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// Limits a rate, with bursts up to a number of tokens.
class TokenBucket {
public:
  TokenBucket(double perSecond, double burst);

  /// Takes a token; false if there is none.
  bool take(SteadyTime now);

  /// Time until a token is there.
  Milliseconds untilNext(SteadyTime now);

  double rate() const { return PerSecond; }

private:
  void refill(SteadyTime now);

  double PerSecond;
  double Burst;
  double Tokens;
  SteadyTime Last{};
};

} // namespace masticwinch
