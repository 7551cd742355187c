#include "masticwinch/coordination/placement/internal/record_keeper.hpp"

#include <iterator>

namespace masticwinch::placement::internal {

namespace {

void startRecorded(PlacerState &state, const PendingRecord &record) {
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
void putBack(std::vector<Element> &waiting, std::vector<Element> &underWay) {
  underWay.insert(underWay.end(), std::make_move_iterator(waiting.begin()),
                  std::make_move_iterator(waiting.end()));
  waiting = std::move(underWay);
  underWay.clear();
}

} // namespace

RecordBatch takeRecords(PlacerState &state) {
  RecordBatch batch;
  const bool underWay =
      !state.RecordsUnderWay.empty() || !state.EndedJobsUnderWay.empty();
  if (underWay || (state.Records.empty() && state.EndedJobs.empty())) {
    return batch;
  }
  batch.Id = ++state.RecordBatchId;
  state.RecordsUnderWay = std::move(state.Records);
  state.Records.clear();
  state.EndedJobsUnderWay = std::move(state.EndedJobs);
  state.EndedJobs.clear();
  for (const PendingRecord &it : state.RecordsUnderWay) {
    if (!it.Implied) {
      batch.Tasks.push_back(it.Record);
    }
  }
  batch.EndedJobs = state.EndedJobsUnderWay;
  return batch;
}

void recordsDurable(PlacerState &state, std::uint64_t batch) {
  if (batch != state.RecordBatchId) {
    return;
  }
  const std::vector<PendingRecord> records = std::move(state.RecordsUnderWay);
  state.RecordsUnderWay.clear();
  for (const PendingRecord &it : records) {
    if (it.Record.State == TaskState::Active) {
      startRecorded(state, it);
    } else if (it.Vm != NoIndex) {
      state.Workers[it.Vm].EndsToRecord.erase(it.Attempt);
      state.forget(it.Vm, {it.Record.Job, it.Record.Task, it.Attempt});
    }
  }
  const std::vector<EndedJob> ended = std::move(state.EndedJobsUnderWay);
  state.EndedJobsUnderWay.clear();
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
  putBack(state.Records, state.RecordsUnderWay);
  putBack(state.EndedJobs, state.EndedJobsUnderWay);
}

} // namespace masticwinch::placement::internal
