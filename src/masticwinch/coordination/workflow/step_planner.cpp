#include "masticwinch/coordination/workflow/step_planner.hpp"

#include <algorithm>
#include <set>

namespace masticwinch::workflow {

namespace {

using Candidates = std::vector<PlanCandidate>;

bool fits(const protocol::StepSpec &step, const ResourceAmounts &needs,
          const PlanCandidate &candidate) {
  return candidate.Free.canFit(needs) &&
         (step.max_per_runner() == 0 ||
          candidate.TasksOfStep < step.max_per_runner());
}

/// Places tasks on one runner after the other, in the given order.
std::vector<PlannedRun> fill(const protocol::StepSpec &step,
                             const std::vector<std::uint32_t> &tasks,
                             Candidates candidates) {
  const ResourceAmounts needs = needsOf(step);
  std::vector<PlannedRun> planned;
  auto next = candidates.begin();
  for (std::uint32_t index : tasks) {
    while (next != candidates.end() && !fits(step, needs, *next)) {
      ++next;
    }
    if (next == candidates.end()) {
      break;
    }
    next->Free -= needs;
    next->TasksOfStep += 1;
    planned.push_back({index, next->Runner});
  }
  return planned;
}

void sortFullestFirst(Candidates &candidates) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const PlanCandidate &a, const PlanCandidate &b) {
                     return a.Free.MilliProcessors < b.Free.MilliProcessors;
                   });
}

/// Places all tasks on one rack, if one has enough free resources.
std::vector<PlannedRun> fillOneRack(const protocol::StepSpec &step,
                                    const std::vector<std::uint32_t> &tasks,
                                    const Candidates &candidates) {
  std::set<std::string> racks;
  for (const PlanCandidate &it : candidates) {
    racks.insert(it.Runner->rack());
  }
  for (const std::string &rack : racks) {
    Candidates ofRack;
    std::copy_if(
        candidates.begin(), candidates.end(), std::back_inserter(ofRack),
        [&](const PlanCandidate &it) { return it.Runner->rack() == rack; });
    std::vector<PlannedRun> planned = fill(step, tasks, std::move(ofRack));
    if (planned.size() == tasks.size()) {
      return planned;
    }
  }
  return {};
}

} // namespace

std::vector<PlannedRun> planStep(const protocol::StepSpec &step,
                                 const std::vector<std::uint32_t> &tasks,
                                 Candidates candidates) {
  sortFullestFirst(candidates);
  if (!step.data_rack().empty()) {
    std::stable_partition(candidates.begin(), candidates.end(),
                          [&](const PlanCandidate &it) {
                            return it.Runner->rack() == step.data_rack();
                          });
  }
  std::vector<PlannedRun> planned;
  if (step.same_rack()) {
    planned = fillOneRack(step, tasks, candidates);
  }
  if (planned.empty()) {
    planned = fill(step, tasks, std::move(candidates));
  }
  if (step.gang() && planned.size() < tasks.size()) {
    planned.clear();
  }
  return planned;
}

} // namespace masticwinch::workflow
