#pragma once

#include "masticwinch/common/clock.hpp"

namespace masticwinch {

/// Token bucket rate limiter; `burst` is the maximum number of tokens.
class TokenBucket {
public:
  TokenBucket(double perSecond, double burst);

  /// Takes a token; returns false if there is none.
  bool take(SteadyTime now);

  /// Time until a token is available.
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
