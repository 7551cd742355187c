#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"
#include "masticwinch/coordination/placement/internal/vm_chooser.hpp"

#include <vector>

namespace masticwinch::placement::internal {

/// Starts gangs whole, and keeps VMs for the one that waits longest.
class GangPlanner {
public:
  explicit GangPlanner(PlacerState &state) : State(state) {}

  /// VMs for all waiting tasks of the job; empty if not all fit now.
  std::vector<WorkerIndex> findVmsForAll(JobIndex job, const Resources &amount,
                                         std::size_t tasks);

  /// Keeps VMs for a gang that doesn't fit, if its turn has come. Stops
  /// preemptible work there for an urgent gang.
  void reserve(JobIndex job, const Resources &amount, std::size_t tasks);

  /// Stops backfilled work that overran, and plans anew what came to nothing.
  void reviewReservations();

private:
  /// Room for one task of the gang on a VM, from a time on.
  struct Opening {
    SteadyTime From{};
    WorkerIndex Vm = NoIndex;
    auto operator<=>(const Opening &) const = default;
  };
  bool mayReserve(const Job &job) const;
  std::vector<Opening> openings(const Job &job, const Resources &amount,
                                std::size_t tasks);
  void openingsOn(WorkerIndex vm, const Resources &amount, bool urgent,
                  std::vector<Opening> &out) const;
  void preemptFor(const Resources &amount, const std::vector<Opening> &chosen);
  bool stopBackfilled(const Reservation &reservation);

  PlacerState &State;
};

/// How much would have to be stopped on the VM for the amount, as the dominant
/// share of the VM in millionths.
std::int64_t preemptionCost(const PlacerState &state, WorkerIndex vm,
                            const Resources &amount);

/// Stops preemptible tasks on the VM until the amount is or becomes free.
/// Returns whether it will.
bool preemptOn(PlacerState &state, WorkerIndex vm, const Resources &amount);

} // namespace masticwinch::placement::internal
