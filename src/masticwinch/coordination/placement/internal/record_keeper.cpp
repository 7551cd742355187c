#include "masticwinch/coordination/placement/internal/record_keeper.hpp"

#include <iterator>

namespace masticwinch::placement::internal {

namespace {

void startRecordedAttempt(PlacerState &state, const PendingRecord &record) {
  for (const TaskIndex it : state.Workers[record.Vm].Attempts) {
    const Attempt &attempt = state.Attempts[it];
    if (attempt.Number == record.Attempt &&
        attempt.State == AttemptState::Recording) {
      state.orderStart(it);
      return;
    }
  }
}

template <class Element>
void requeue(std::vector<Element> &queued, std::vector<Element> &inFlight) {
  inFlight.insert(inFlight.end(), std::make_move_iterator(queued.begin()),
                  std::make_move_iterator(queued.end()));
  queued = std::move(inFlight);
  inFlight.clear();
}

} // namespace

RecordBatch takeRecords(PlacerState &state) {
  RecordBatch batch;
  const bool inFlight =
      !state.RecordsInFlight.empty() || !state.EndedJobsInFlight.empty();
  if (inFlight || (state.Records.empty() && state.EndedJobs.empty())) {
    return batch;
  }
  batch.Id = ++state.RecordBatchId;
  state.RecordsInFlight = std::move(state.Records);
  state.Records.clear();
  state.EndedJobsInFlight = std::move(state.EndedJobs);
  state.EndedJobs.clear();
  for (const PendingRecord &it : state.RecordsInFlight) {
    if (!it.Implied) {
      batch.Tasks.push_back(it.Record);
    }
  }
  batch.EndedJobs = state.EndedJobsInFlight;
  return batch;
}

void recordsDurable(PlacerState &state, std::uint64_t batch) {
  if (batch != state.RecordBatchId) {
    return;
  }
  const std::vector<PendingRecord> records = std::move(state.RecordsInFlight);
  state.RecordsInFlight.clear();
  for (const PendingRecord &it : records) {
    if (it.Record.State == TaskState::Active) {
      startRecordedAttempt(state, it);
    } else if (it.Vm != NoIndex) {
      state.Workers[it.Vm].EndsToRecord.erase(it.Attempt);
      state.forget(it.Vm, {it.Record.Job, it.Record.Task, it.Attempt});
    }
  }
  const std::vector<EndedJob> ended = std::move(state.EndedJobsInFlight);
  state.EndedJobsInFlight.clear();
  for (const EndedJob &it : ended) {
    const JobIndex job = state.findJob(it.Id);
    if (job != NoIndex) {
      state.removeJob(job);
    }
  }
}

void recordsUncertain(PlacerState &state, std::uint64_t batch) {
  if (batch != state.RecordBatchId) {
    return;
  }
  requeue(state.Records, state.RecordsInFlight);
  requeue(state.EndedJobs, state.EndedJobsInFlight);
}

} // namespace masticwinch::placement::internal
