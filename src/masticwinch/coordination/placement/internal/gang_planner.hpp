#pragma once

#include "masticwinch/coordination/placement/internal/placer_state.hpp"
#include "masticwinch/coordination/placement/internal/vm_chooser.hpp"

#include <vector>

namespace masticwinch::placement::internal {

/// Plans gangs, whose tasks start all together, and reserves VMs for the gangs
/// that have waited longest.
class GangPlanner {
public:
  explicit GangPlanner(PlacerState &state) : State(state) {}

  /// VMs for all waiting tasks of the job; empty if not all tasks fit now.
  std::vector<WorkerIndex> findVmsForAll(JobIndex job, const Resources &amount,
                                         std::size_t tasks);

  /// Reserves VMs for a gang that doesn't fit, unless too many reservations
  /// exist. Preempts work there for an urgent gang.
  void reserve(JobIndex job, const Resources &amount, std::size_t tasks);

  /// Stops backfilled tasks that overran, and drops reservations that could not
  /// be used in time, so that they are planned again.
  void reviewReservations();

private:
  /// Room for one task of the gang on a VM from a given time.
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

/// Dominant share of the VM, in millionths, of the tasks that must stop to free
/// the amount.
std::int64_t preemptionCost(const PlacerState &state, WorkerIndex vm,
                            const Resources &amount);

/// Stops preemptible tasks on the VM until the amount is free or will be once
/// they have stopped. Returns whether it will.
bool preemptOn(PlacerState &state, WorkerIndex vm, const Resources &amount);

} // namespace masticwinch::placement::internal
