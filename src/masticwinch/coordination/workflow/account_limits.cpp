#include "masticwinch/coordination/workflow/account_limits.hpp"

#include "masticwinch/common/saturating.hpp"

#include <algorithm>
#include <array>

namespace masticwinch::workflow {

namespace {

/// Number of an account's remaining steps that a pass tries in turn.
constexpr std::size_t StepsInTurn = 2;

constexpr std::uint64_t MicrosPerMilli = 1000;

/// Calls `handle` with the cap, the use and the need of each limited resource.
template <class Handler>
void forEachLimit(const protocol::Amounts &cap, const ResourceAmounts &used,
                  const ResourceAmounts &needs, const Handler &handle) {
  const ResourceAmounts limits = amountsOf(cap);
  const auto check = [&](std::int64_t limit, std::int64_t use,
                         std::int64_t need) {
    if (limit > 0) {
      handle(limit, use, need);
    }
  };
  check(limits.MilliProcessors, used.MilliProcessors, needs.MilliProcessors);
  check(limits.MemoryMb, used.MemoryMb, needs.MemoryMb);
  check(limits.Accelerators, used.Accelerators, needs.Accelerators);
}

} // namespace

bool isLimited(const protocol::Amounts &cap) {
  return cap.milli_processors() > 0 || cap.memory_mb() > 0 ||
         cap.accelerators() > 0;
}

ResourceAmounts limitedNeeds(const protocol::Amounts &cap,
                             const ResourceAmounts &needs, std::size_t tasks) {
  const auto count = std::int64_t(tasks);
  return {cap.milli_processors() > 0 ? needs.MilliProcessors * count : 0,
          cap.memory_mb() > 0 ? needs.MemoryMb * count : 0,
          cap.accelerators() > 0 ? needs.Accelerators * count : 0};
}

std::size_t tasksBelowCap(const protocol::Amounts &cap,
                          const ResourceAmounts &used,
                          const ResourceAmounts &needs) {
  std::size_t tasks = AnyNumber;
  forEachLimit(cap, used, needs,
               [&](std::int64_t limit, std::int64_t use, std::int64_t need) {
                 if (need > 0) {
                   const std::int64_t left =
                       std::max<std::int64_t>(limit - use, 0);
                   tasks = std::min(tasks, std::size_t(left / need));
                 }
               });
  return tasks;
}

std::size_t startableBelowCap(const protocol::Amounts &cap,
                              const ResourceAmounts &used,
                              const protocol::StepSpec &step,
                              std::size_t tasks) {
  const std::size_t fitting = tasksBelowCap(cap, used, needsOf(step));
  if (step.gang() && fitting < tasks) {
    return 0;
  }
  return std::min(tasks, fitting);
}

bool canEverFit(const protocol::WorkflowSpec &spec,
                const protocol::Amounts &cap) {
  return std::all_of(spec.steps().begin(), spec.steps().end(),
                     [&](const protocol::StepSpec &it) {
                       return tasksBelowCap(cap, {}, needsOf(it)) >=
                              (it.gang() ? it.count() : 1);
                     });
}

std::uint64_t wavesOf(const protocol::StepSpec &step,
                      const protocol::Amounts &cap) {
  const std::size_t width = tasksBelowCap(cap, {}, needsOf(step));
  if (step.gang() || width >= step.count()) {
    return 1;
  }
  const std::uint64_t atOnce = std::max<std::uint64_t>(width, 1);
  return (step.count() + atOnce - 1) / atOnce;
}

MicrosOnCap microsOnCap(const protocol::StepSpec &step, std::size_t tasks,
                        const protocol::Amounts &cap) {
  const std::uint64_t time = saturatingMultiply(
      saturatingMultiply(step.estimate_ms(), MicrosPerMilli), tasks);
  const ResourceAmounts limits = amountsOf(cap);
  const ResourceAmounts needs = needsOf(step);
  const auto micros = [time](std::int64_t need, std::int64_t limit) {
    return limit > 0 ? saturatingMultiply(time, std::uint64_t(need)) /
                           std::uint64_t(limit)
                     : 0;
  };
  return {micros(needs.MilliProcessors, limits.MilliProcessors),
          micros(needs.MemoryMb, limits.MemoryMb),
          micros(needs.Accelerators, limits.Accelerators)};
}

std::uint64_t longestOf(const MicrosOnCap &micros,
                        const protocol::WorkflowSpec &spec) {
  ResourceAmounts needs;
  for (const protocol::StepSpec &it : spec.steps()) {
    const ResourceAmounts its = needsOf(it);
    needs.MilliProcessors =
        std::max(needs.MilliProcessors, its.MilliProcessors);
    needs.MemoryMb = std::max(needs.MemoryMb, its.MemoryMb);
    needs.Accelerators = std::max(needs.Accelerators, its.Accelerators);
  }
  return std::max({needs.MilliProcessors > 0 ? micros[0] : 0,
                   needs.MemoryMb > 0 ? micros[1] : 0,
                   needs.Accelerators > 0 ? micros[2] : 0});
}

std::vector<std::size_t>
CappedSteps::select(const std::string &account, const protocol::Amounts &cap,
                    const ResourceAmounts &used,
                    const std::vector<WaitingStep> &steps) {
  std::vector<std::size_t> selected;
  std::vector<std::size_t> others;
  // By kind: late or not, gang or not.
  std::array<std::array<ResourceAmounts, 2>, 2> taken{
      {{used, used}, {used, used}}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const WaitingStep &it = steps[i];
    const std::size_t fitting = tasksBelowCap(cap, used, it.Needs);
    const std::size_t required = it.Gang ? it.Tasks : 1;
    if (fitting < required) {
      continue;
    }
    ResourceAmounts &ofKind = taken[it.Late ? 1 : 0][it.Gang ? 1 : 0];
    const std::size_t left = tasksBelowCap(cap, ofKind, it.Needs);
    if (left < required) {
      others.push_back(i);
      continue;
    }
    ofKind += limitedNeeds(cap, it.Needs, std::min(it.Tasks, left));
    selected.push_back(i);
  }
  if (others.empty()) {
    return selected;
  }
  std::sort(others.begin(), others.end(), [&](std::size_t a, std::size_t b) {
    return *steps[a].Key < *steps[b].Key;
  });
  const auto last = LastInTurn.find(account);
  if (last != LastInTurn.end()) {
    const auto next = std::upper_bound(
        others.begin(), others.end(), last->second,
        [&](const StepKey &key, std::size_t i) { return key < *steps[i].Key; });
    std::rotate(others.begin(), next, others.end());
  }
  others.resize(std::min(others.size(), StepsInTurn));
  NextLastInTurn[account] = *steps[others.back()].Key;
  selected.insert(selected.end(), others.begin(), others.end());
  std::sort(selected.begin(), selected.end());
  return selected;
}

void CappedSteps::endPass() {
  LastInTurn = std::move(NextLastInTurn);
  NextLastInTurn.clear();
}

} // namespace masticwinch::workflow
