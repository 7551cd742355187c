#include "masticwinch/coordination/workflow/step_planner.hpp"

#include <algorithm>
#include <set>
#include <span>

namespace masticwinch::workflow {

namespace {

using Candidates = std::vector<PlanCandidate>;

bool fits(const protocol::StepSpec &step, const ResourceAmounts &needs,
          const PlanCandidate &candidate) {
  return candidate.Free.canFit(needs) &&
         (step.max_per_runner() == 0 ||
          candidate.TasksOfStep < step.max_per_runner());
}

/// Places tasks on one runner after the other, in the given order. Updates the
/// candidates by what is placed on them.
std::vector<PlannedRun> fill(const protocol::StepSpec &step,
                             std::span<const std::uint32_t> tasks,
                             Candidates &candidates) {
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

/// Places tasks on the processors of each runner that remain when it is divided
/// into slots.
std::vector<PlannedRun> fillRemainders(const protocol::StepSpec &step,
                                       std::span<const std::uint32_t> tasks,
                                       Candidates &candidates,
                                       std::int64_t slotProcessors) {
  Candidates remainders = candidates;
  for (PlanCandidate &it : remainders) {
    it.Free.MilliProcessors %= slotProcessors;
  }
  const std::vector<PlannedRun> planned = fill(step, tasks, remainders);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    ResourceAmounts &free = candidates[i].Free;
    ResourceAmounts used = free;
    used.MilliProcessors %= slotProcessors;
    used -= remainders[i].Free;
    free -= used;
    candidates[i].TasksOfStep = remainders[i].TasksOfStep;
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
    std::vector<PlannedRun> planned = fill(step, tasks, ofRack);
    if (planned.size() == tasks.size()) {
      return planned;
    }
  }
  return {};
}

} // namespace

std::vector<PlannedRun> planStep(const protocol::StepSpec &step,
                                 const std::vector<std::uint32_t> &tasks,
                                 Candidates candidates,
                                 std::int64_t slotProcessors) {
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
  if (planned.empty() && !step.gang() && slotProcessors > 0) {
    planned = fillRemainders(step, tasks, candidates, slotProcessors);
  }
  if (planned.size() < tasks.size()) {
    const auto rest = std::span(tasks).subspan(planned.size());
    const std::vector<PlannedRun> others = fill(step, rest, candidates);
    planned.insert(planned.end(), others.begin(), others.end());
  }
  if (step.gang() && planned.size() < tasks.size()) {
    planned.clear();
  }
  return planned;
}

std::vector<PlannedRun> placeInOrder(const protocol::StepSpec &step,
                                     const std::vector<std::uint32_t> &tasks,
                                     Candidates candidates) {
  return fill(step, tasks, candidates);
}

} // namespace masticwinch::workflow
