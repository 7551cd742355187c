#include "benchmarks/capacity_claims.hpp"
#include "benchmarks/capacity_jobs.hpp"
#include "benchmarks/capacity_placer.hpp"

int main() {
  masticwinch::capacity::measurePlacer();
  masticwinch::capacity::measureClaims();
  masticwinch::capacity::measureJobs();
  return 0;
}
