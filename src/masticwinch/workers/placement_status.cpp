#include "masticwinch/workers/placement_status.hpp"

#include "masticwinch/coordination/placement/job_progress.hpp"
#include "masticwinch/protocol/cell.pb.h"
#include "masticwinch/workers/job_terms.hpp"

namespace masticwinch::workers {

namespace {

std::uint32_t countOf(const placement::TaskRanges &ranges) {
  std::uint32_t count = 0;
  for (const protocol::TaskRange &it : ranges) {
    count += it.count();
  }
  return count;
}

void addExplanation(const placement::Explanation &it,
                    protocol::JobStatus &status) {
  status.set_waiting(it.Waiting);
  status.set_active(it.Active);
  status.set_running(it.Running);
  status.set_finished(it.Finished);
  status.set_failed(it.Failed);
  status.set_unknown(it.Unknown);
  status.set_reason(std::string(nameOf(it.Reason)));
  status.set_explanation(it.Text);
  *status.mutable_per_task() = messageOf(it.PerTask);
}

std::string stateOf(const protocol::JobRecord &record,
                    const protocol::JobStatus &status) {
  if (record.cancelled()) {
    return record.ended_order() != 0 ? "cancelled" : "cancelling";
  }
  if (record.ended_order() != 0) {
    return "ended";
  }
  return status.active() > 0 ? "running" : "waiting";
}

} // namespace

protocol::JobStatus statusOf(const protocol::JobRecord &record,
                             const placement::Placer *placer) {
  protocol::JobStatus status;
  status.set_job(record.id());
  status.set_name(record.spec().name());
  status.set_profile(record.spec().profile());
  status.set_team(record.spec().team());
  status.set_tasks(record.spec().tasks());
  status.set_submitted_at_unix_ms(record.submitted_at_unix_ms());
  status.set_submitted_by(record.submitted_by());
  *status.mutable_per_task() = record.policy().resources();
  status.set_finished(countOf(record.progress().finished()));
  status.set_failed(countOf(record.progress().failed()));
  status.set_unknown(countOf(record.progress().unknown()));
  const auto explanation =
      placer == nullptr ? std::nullopt : placer->explain(record.id());
  if (explanation) {
    addExplanation(*explanation, status);
  } else if (record.ended_order() == 0) {
    status.set_reason("leader_change");
    status.set_explanation("the leader has not begun to place");
  }
  status.set_state(stateOf(record, status));
  return status;
}

protocol::VmStatus statusOf(const placement::WorkerSummary &summary) {
  protocol::VmStatus status;
  status.set_name(summary.Name);
  *status.mutable_capacity() = messageOf(summary.Capacity);
  *status.mutable_reserved() = messageOf(summary.Reserved);
  status.set_tasks(summary.Attempts);
  status.set_answers(summary.Responsive);
  status.set_draining(summary.Draining);
  status.set_ejected(summary.Ejected);
  return status;
}

} // namespace masticwinch::workers
