#include "masticwinch/workflow/outcome_counters.hpp"

#include <utility>

namespace masticwinch::workflow {

void OutcomeCounters::add(WorkflowOutcome outcome) {
  if (!Queues.contains(outcome.Queue)) {
    if (Queues.size() < MaxQueues) {
      Queues.insert(outcome.Queue);
    } else {
      outcome.Queue = "other";
    }
  }
  Counter *&counter = Counters[outcome];
  if (!counter) {
    counter = &Metrics.counter(
        {"masticwinch_workflow_outcomes_total",
         "Submissions by what became of them; `size` compares a submission's "
         "work with the recent ones of its queue.",
         {{"queue", outcome.Queue},
          {"size", std::string(nameOf(outcome.Size))},
          {"outcome", std::string(nameOf(outcome.Kind))}}});
  }
  counter->add(1);
}

} // namespace masticwinch::workflow
