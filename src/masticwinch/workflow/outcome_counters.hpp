#pragma once

#include "masticwinch/coordination/workflow/workflow_outcome.hpp"
#include "masticwinch/metrics/metric_registry.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace masticwinch::workflow {

/// Counts outcomes of workflows by queue and size as metrics. Queues beyond
/// `MaxQueues` are counted together as `other`.
class OutcomeCounters {
public:
  static constexpr std::size_t MaxQueues = 64;

  explicit OutcomeCounters(MetricRegistry &metrics) : Metrics(metrics) {}

  void add(WorkflowOutcome outcome);

private:
  MetricRegistry &Metrics;
  std::set<std::string> Queues;
  std::map<WorkflowOutcome, Counter *> Counters;
};

} // namespace masticwinch::workflow
