#include "masticwinch/coordination/workflow/runner_health.hpp"

#include <algorithm>

namespace masticwinch::workflow {

bool RunnerHealth::runEnded(const std::string &runner,
                            const std::string &workflow, protocol::RunEnd how,
                            std::size_t runnerCount, SteadyTime now) {
  Record &record = Records[runner];
  if (how == protocol::RUN_DONE) {
    record = {};
    return false;
  }
  if (how != protocol::RUN_FAILED || record.LastWorkflow == workflow) {
    return false;
  }
  record.LastWorkflow = workflow;
  record.ConsecutiveFailures += 1;
  const bool mayQuarantine = (quarantinedCount(now) + 1) * 1000 <=
                             runnerCount * Options.MaxQuarantinedPermille;
  if (record.ConsecutiveFailures < Options.MaxConsecutiveFailures ||
      now < record.QuarantinedUntil || !mayQuarantine) {
    return false;
  }
  record.NextQuarantine =
      std::clamp(record.NextQuarantine * 2, Options.InitialQuarantine,
                 Options.MaxQuarantine);
  record.QuarantinedUntil = now + record.NextQuarantine;
  LastQuarantineUntil = std::max(LastQuarantineUntil, record.QuarantinedUntil);
  return true;
}

bool RunnerHealth::isQuarantined(const std::string &runner,
                                 SteadyTime now) const {
  if (now >= LastQuarantineUntil) {
    return false;
  }
  const auto it = Records.find(runner);
  return it != Records.end() && now < it->second.QuarantinedUntil;
}

std::size_t RunnerHealth::quarantinedCount(SteadyTime now) const {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(), [&](const auto &it) {
        return now < it.second.QuarantinedUntil;
      }));
}

} // namespace masticwinch::workflow
