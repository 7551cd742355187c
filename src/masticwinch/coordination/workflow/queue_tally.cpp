#include "masticwinch/coordination/workflow/queue_tally.hpp"

#include <utility>

namespace masticwinch::workflow {

QueueCounts *QueueTally::countsOf(const std::string &queue) {
  const auto it = Counts.find(queue);
  if (it != Counts.end()) {
    return &it->second;
  }
  return Counts.size() < MaxQueues ? &Counts[queue] : nullptr;
}

void QueueTally::accepted(const std::string &queue) {
  if (QueueCounts *counts = countsOf(queue)) {
    ++counts->Accepted;
  }
}

void QueueTally::refused(const std::string &queue) {
  if (QueueCounts *counts = countsOf(queue)) {
    ++counts->Refused;
  }
}

void QueueTally::assigned(const std::string &queue) {
  if (QueueCounts *counts = countsOf(queue)) {
    ++counts->Assigned;
  }
}

std::map<std::string, QueueCounts> QueueTally::take() {
  return std::exchange(Counts, {});
}

} // namespace masticwinch::workflow
