#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"

namespace masticwinch::placement::internal {

/// Chooses the VM for a task.
class VmChooser {
public:
  explicit VmChooser(PlacerState &state) : State(state) {}

  /// The best VM with room under the job's policy; `NoIndex` if there is none.
  WorkerIndex choose(JobIndex job, const Resources &amount);

  /// A VM that is reserved for the job and has room.
  WorkerIndex chooseReserved(JobIndex job, const Resources &amount) const;

  /// A VM that is reserved for another job and on which this job would end
  /// before that one starts.
  WorkerIndex chooseBackfill(JobIndex job, const Resources &amount) const;

private:
  template <PlacementPolicy Policy>
  WorkerIndex chooseBy(const Policy &policy, const Job &job,
                       const Resources &amount);
  Candidate candidate(const Job &job, WorkerIndex vm,
                      const Resources &amount) const;
  bool rackFull(const Job &job, WorkerIndex vm) const;

  PlacerState &State;
};

} // namespace masticwinch::placement::internal
