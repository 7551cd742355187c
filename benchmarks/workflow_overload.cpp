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

void report(const std::string &name, const ModelOptions &options) {
  WorkflowModel model(options);
  model.run();
  for (const auto &[queue, it] : model.outcomes()) {
    const std::string head = name + "." + queue;
    const double all = double(std::max<std::size_t>(it.Arrived, 1));
    print(head + ".on_time", double(it.OnTime) / all, "share");
    print(head + ".late", double(it.Late) / all, "share");
    print(head + ".refused", double(it.Refused) / all, "share");
    print(head + ".start_p50", percentile(it.StartMs, 0.5), "ms");
    print(head + ".start_p95", percentile(it.StartMs, 0.95), "ms");
  }
  print(name + ".earned", model.earnedShare(), "share");
  print(name + ".busy", model.busyShare(), "share");
  print(name + ".decisions",
        model.processorSeconds() / model.simulatedSeconds(), "cores");
}

} // namespace

/// Prints what the decisions make of calm and overloaded fleets. Arguments: the
/// number of runners (48), the load against a calm day (1), seconds (30).
int main(int argc, char **argv) {
  ModelOptions options;
  options.Runners = argc > 1 ? std::size_t(std::atoi(argv[1])) : 48;
  const double load = argc > 2 ? std::atof(argv[2]) : 1;
  options.Seconds = argc > 3 ? std::atof(argv[3]) : 30;
  options.Agents = options.Runners > 96 ? 42 : 11;
  options.Queues = priceQueues(load, double(options.Runners) / 48);
  report("fleet", options);
  return 0;
}
