#include "benchmarks/capacity_claims.hpp"
#include "benchmarks/capacity_placer.hpp"

int main() {
  masticwinch::capacity::measurePlacer();
  masticwinch::capacity::measureClaims();
  return 0;
}
