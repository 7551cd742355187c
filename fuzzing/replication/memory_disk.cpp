#include "fuzzing/replication/memory_disk.hpp"

namespace masticwinch::fuzzing {

void MemoryDisk::sync(const replication::WriteBatch &batch) {
  if (batch.NewSnapshot) {
    State.LastSnapshot = batch.NewSnapshot;
  }
  if (batch.ResetLog) {
    State.Entries.clear();
    State.BaseIndex = batch.NewSnapshot->Index;
    State.BaseTerm = batch.NewSnapshot->Term;
  }
  while (!State.Entries.empty() && State.BaseIndex < batch.DiscardThrough) {
    State.BaseIndex = State.Entries.front().index();
    State.BaseTerm = State.Entries.front().term();
    State.Entries.erase(State.Entries.begin());
  }
  if (batch.Hard) {
    State.Hard = *batch.Hard;
  }
  for (const protocol::LogEntry &it : batch.Entries) {
    while (!State.Entries.empty() &&
           State.Entries.back().index() >= it.index()) {
      State.Entries.pop_back();
    }
    State.Entries.push_back(it);
  }
}

void MemoryDisk::flipBit(std::size_t position) {
  if (State.Entries.empty()) {
    return;
  }
  State.Entries.resize(position % State.Entries.size());
  State.Hard.Repairing = true;
}

} // namespace masticwinch::fuzzing
