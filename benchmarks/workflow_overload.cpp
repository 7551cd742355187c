#include "benchmarks/workflow_model.hpp"
#include <cstdio>
#include <cstdlib>

using namespace masticwinch;
using namespace masticwinch::benchmarks;

namespace {

double percentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::size_t(double(values.size() - 1) * share)];
}

void print(const std::string &figure, double value, const char *unit) {
  std::printf("figure=%s value=%.4g unit=%s\n", figure.c_str(), value, unit);
}

/// A scheduling policy to compare.
struct Policy {
  std::string Name;
  workflow::RankingPolicy Ranking;
  bool GatherForGangs;
};

/// Runs the model with `runs` seeds under one policy and prints the figures.
void report(const Policy &policy, ModelOptions options, int runs) {
  options.Leader.Ranking = policy.Ranking;
  options.Leader.GatherForGangs = policy.GatherForGangs;
  std::map<std::string, ModelOutcome> all;
  double earned = 0;
  double busy = 0;
  double decisions = 0;
  for (int i = 0; i < runs; ++i) {
    options.Seed = std::uint64_t(i + 1);
    WorkflowModel model(options);
    model.run();
    for (const auto &[queue, it] : model.outcomes()) {
      all[queue] += it;
    }
    earned += model.earnedShare() / runs;
    busy += model.busyShare() / runs;
    decisions += model.decisionSeconds() / model.simulatedSeconds() / runs;
  }
  for (const auto &[queue, it] : all) {
    const std::string head = policy.Name + "." + queue;
    const double count = double(std::max<std::size_t>(it.Arrived, 1));
    print(head + ".on_time", double(it.OnTime) / count, "share");
    print(head + ".late", double(it.Late) / count, "share");
    print(head + ".refused", double(it.Refused) / count, "share");
    print(head + ".start_p50", percentile(it.StartMs, 0.5), "ms");
    print(head + ".start_p95", percentile(it.StartMs, 0.95), "ms");
  }
  print(policy.Name + ".earned", earned, "share");
  print(policy.Name + ".busy", busy, "share");
  print(policy.Name + ".decisions", decisions, "cores");
}

} // namespace

/// Compares scheduling policies under normal load and overload. Arguments and
/// their defaults: number of runners (48), load relative to a normal day (1),
/// seconds of arrivals (30), runs with different seeds (3).
int main(int argc, char **argv) {
  ModelOptions options;
  options.Runners = argc > 1 ? std::size_t(std::atoi(argv[1])) : 48;
  const double load = argc > 2 ? std::atof(argv[2]) : 1;
  options.Seconds = argc > 3 ? std::atof(argv[3]) : 30;
  options.Agents = options.Runners > 96 ? 42 : 11;
  options.Queues = priceQueues(load, double(options.Runners) / 48);
  const int runs = argc > 4 ? std::atoi(argv[4]) : 3;
  using workflow::RankingPolicy;
  report({"first_come", RankingPolicy::FirstComeFirstServed, false}, options,
         runs);
  report({"priority", RankingPolicy::Priority, false}, options, runs);
  report({"on_time_first", RankingPolicy::OnTimeFirst, false}, options, runs);
  report({"on_time_first_gathering", RankingPolicy::OnTimeFirst, true}, options,
         runs);
  return 0;
}
