#include "masticwinch/coordination/requests/token_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace masticwinch {

TokenBucket::TokenBucket(double perSecond, double burst)
    : PerSecond(perSecond), Burst(std::max(burst, 1.0)), Tokens(Burst) {}

bool TokenBucket::take(SteadyTime now) {
  refill(now);
  if (Tokens < 1) {
    return false;
  }
  Tokens -= 1;
  return true;
}

Milliseconds TokenBucket::untilNext(SteadyTime now) {
  refill(now);
  const double missing = std::max(0.0, 1 - Tokens);
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(missing * 1000 / PerSecond)));
}

void TokenBucket::refill(SteadyTime now) {
  const std::chrono::duration<double> passed = now - Last;
  if (passed.count() > 0) {
    Tokens = std::min(Burst, Tokens + passed.count() * PerSecond);
    Last = now;
  }
}

} // namespace masticwinch
