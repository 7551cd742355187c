#include "masticwinch/coordination/workflow/critical_path.hpp"

#include "masticwinch/common/saturating.hpp"
#include "masticwinch/coordination/workflow/account_limits.hpp"

#include <algorithm>

namespace masticwinch::workflow {

namespace {

/// Number of runners in the advice call that objectives account for.
constexpr std::uint64_t RunnersOfUsualAdvice = 30;

constexpr std::uint64_t MilliPerCore = 1000;

Milliseconds adviceTime(const protocol::QueueConfig &queue) {
  if (!queue.has_advice()) {
    return Milliseconds(0);
  }
  const std::uint64_t micros =
      queue.advice().decision_us() +
      queue.advice().per_runner_us() * RunnersOfUsualAdvice;
  return Milliseconds(micros / 1000);
}

/// Estimated time of all tasks of a step, in as many waves as the cap requires.
Milliseconds timeOf(const protocol::StepSpec &step,
                    const protocol::Amounts &cap) {
  const std::uint64_t time =
      saturatingMultiply(step.estimate_ms(), wavesOf(step, cap));
  return Milliseconds(
      std::min(time, static_cast<std::uint64_t>(LongestObjective.count())));
}

} // namespace

std::vector<Milliseconds>
remainingCriticalPaths(const protocol::WorkflowSpec &spec,
                       const protocol::QueueConfig &queue,
                       const protocol::Amounts &cap) {
  const Milliseconds advice = adviceTime(queue);
  std::vector<Milliseconds> remaining(
      static_cast<std::size_t>(spec.steps_size()), Milliseconds(0));
  // A step depends on earlier steps only, so going backwards handles every step
  // after its dependents.
  for (int i = spec.steps_size() - 1; i >= 0; --i) {
    const protocol::StepSpec &step = spec.steps(i);
    const Milliseconds own = timeOf(step, cap) + advice;
    Milliseconds &path = remaining[static_cast<std::size_t>(i)];
    path += own;
    for (std::uint32_t before : step.after()) {
      remaining[before] = std::max(remaining[before], path);
    }
  }
  return remaining;
}

Milliseconds longestCriticalPath(const std::vector<Milliseconds> &remaining) {
  const auto longest = std::max_element(remaining.begin(), remaining.end());
  return longest == remaining.end() ? Milliseconds(0) : *longest;
}

Milliseconds objectiveOf(Milliseconds criticalPath,
                         const protocol::QueueConfig &queue) {
  const std::uint64_t stretched =
      saturatingMultiply(static_cast<std::uint64_t>(criticalPath.count()),
                         queue.stretch_permille()) /
      1000;
  const std::uint64_t objective =
      saturatingAdd(stretched, queue.latency_target_ms());
  return Milliseconds(std::min(
      objective, static_cast<std::uint64_t>(LongestObjective.count())));
}

std::uint64_t taskWork(const protocol::StepSpec &step) {
  return std::uint64_t(step.estimate_ms()) * step.needs().milli_processors() /
         MilliPerCore;
}

std::uint64_t estimatedWork(const protocol::WorkflowSpec &spec) {
  std::uint64_t work = 0;
  for (const protocol::StepSpec &it : spec.steps()) {
    work = saturatingAdd(work, saturatingMultiply(it.count(), taskWork(it)));
  }
  return std::min(work, MaxEstimatedWork);
}

} // namespace masticwinch::workflow
