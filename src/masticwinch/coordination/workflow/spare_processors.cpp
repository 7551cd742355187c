#include "masticwinch/coordination/workflow/spare_processors.hpp"

#include "masticwinch/common/saturating.hpp"

#include <algorithm>

namespace masticwinch::workflow {

std::uint64_t firstProcessors(const protocol::WorkflowSpec &spec) {
  std::uint64_t sum = 0;
  for (const protocol::StepSpec &it : spec.steps()) {
    if (it.after_size() == 0) {
      sum = saturatingAdd(
          sum, saturatingMultiply(it.count(), it.needs().milli_processors()));
    }
  }
  return sum;
}

void SpareProcessors::beginCount() {
  Pools.clear();
  for (const auto &[id, it] : BeingStored) {
    addWaiting(it.Pool, it.MilliProcessors);
  }
}

void SpareProcessors::addWaiting(const std::string &pool,
                                 std::uint64_t milliProcessors) {
  std::uint64_t &waiting = Pools[pool].Waiting;
  waiting = saturatingAdd(waiting, milliProcessors);
}

void SpareProcessors::removeStarted(const std::string &pool,
                                    std::uint64_t milliProcessors) {
  std::uint64_t &waiting = Pools[pool].Waiting;
  waiting -= std::min(waiting, milliProcessors);
}

void SpareProcessors::setFree(const std::string &pool,
                              std::uint64_t freeMilliProcessors,
                              std::uint64_t capacity) {
  const std::uint64_t gaps = capacity * GapsPermille / 1000;
  Pools[pool].Free = freeMilliProcessors - std::min(freeMilliProcessors, gaps);
}

void SpareProcessors::letIn(const protocol::WorkflowSpec &spec,
                            const std::string &pool) {
  if (spec.repeats() > 0) {
    return;
  }
  const Submission submission{pool, firstProcessors(spec)};
  BeingStored[spec.id()] = submission;
  addWaiting(submission.Pool, submission.MilliProcessors);
}

std::uint64_t SpareProcessors::spareOf(const std::string &pool) const {
  const auto it = Pools.find(pool);
  return it == Pools.end()
             ? 0
             : it->second.Free - std::min(it->second.Free, it->second.Waiting);
}

} // namespace masticwinch::workflow
