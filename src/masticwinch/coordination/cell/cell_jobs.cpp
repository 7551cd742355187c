#include "masticwinch/coordination/cell/cell_state.hpp"
#include "masticwinch/coordination/placement/job_progress.hpp"

#include <algorithm>

namespace masticwinch::cell {

protocol::CommandResult
CellState::recordPlacement(const protocol::RecordPlacement &record) {
  LongestWorkerLeaseMs =
      std::max<std::uint64_t>(LongestWorkerLeaseMs, record.worker_lease_ms());
  for (const protocol::TaskOutcomes &it : record.outcomes()) {
    const auto job = Jobs.find(it.job());
    if (job == Jobs.end()) {
      continue;
    }
    placement::applyOutcomes(*job->second.mutable_progress(), it,
                             job->second.spec().tasks());
    if (it.ended() && job->second.ended_order() == 0) {
      endJob(job->second);
    }
  }
  return accepted();
}

void CellState::endJob(protocol::JobRecord &record) {
  const std::uint64_t order =
      EndedJobs.empty() ? 1 : EndedJobs.rbegin()->first + 1;
  record.set_ended_order(order);
  // The payload may be large and is no longer needed.
  record.mutable_spec()->clear_payload();
  EndedJobs[order] = record.id();
  if (EndedJobs.size() > MaxEndedJobs) {
    Jobs.erase(EndedJobs.begin()->second);
    EndedJobs.erase(EndedJobs.begin());
  }
}

} // namespace masticwinch::cell
