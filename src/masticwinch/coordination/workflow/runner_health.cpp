#include "masticwinch/coordination/workflow/runner_health.hpp"

#include <algorithm>

namespace masticwinch::workflow {

bool RunnerHealth::ended(const std::string &runner, const std::string &workflow,
                         protocol::RunEnd how, std::size_t runnerCount,
                         SteadyTime now) {
  Record &record = Records[runner];
  if (how == protocol::RUN_DONE) {
    record = {};
    return false;
  }
  if (how != protocol::RUN_FAILED || record.LastWorkflow == workflow) {
    return false;
  }
  record.LastWorkflow = workflow;
  record.InRow += 1;
  const bool mayRest = (restingCount(now) + 1) * 1000 <=
                       runnerCount * Options.MaxRestingPermille;
  if (record.InRow < Options.FailuresInRow || now < record.RestUntil ||
      !mayRest) {
    return false;
  }
  record.NextRest =
      std::clamp(record.NextRest * 2, Options.FirstRest, Options.LongestRest);
  record.RestUntil = now + record.NextRest;
  LastRestUntil = std::max(LastRestUntil, record.RestUntil);
  return true;
}

bool RunnerHealth::isResting(const std::string &runner, SteadyTime now) const {
  if (now >= LastRestUntil) {
    return false;
  }
  const auto it = Records.find(runner);
  return it != Records.end() && now < it->second.RestUntil;
}

std::size_t RunnerHealth::restingCount(SteadyTime now) const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [&](const auto &it) { return now < it.second.RestUntil; }));
}

} // namespace masticwinch::workflow
