#pragma once

#include "masticwinch/coordination/placement/free_capacity_index.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <span>
#include <stdexcept>
#include <vector>

namespace masticwinch::placement {

/// A change that would have broken the account; a fault of the program.
class AccountError : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

/// What an attempt holds of a VM, as somebody other than the account knows it.
struct Holding {
  WorkerIndex Vm = NoIndex;
  Resources Amount;
};

/// What is reserved on every VM. The only code that changes a reservation;
/// every change is checked against the capacity before it is made.
class ResourceAccount {
public:
  /// Adds a VM or changes its capacity. Throws `AccountError` if more than the
  /// new capacity is reserved.
  void setCapacity(WorkerIndex vm, const Resources &capacity);

  /// Reserves the amount, or changes nothing and returns false.
  [[nodiscard]] bool tryReserve(WorkerIndex vm, const Resources &amount);

  /// Gives back what was reserved. Throws `AccountError` if less is reserved.
  void release(WorkerIndex vm, const Resources &amount);

  /// Whether searches find the VM; reservations are possible either way.
  void setSchedulable(WorkerIndex vm, bool schedulable);

  /// Says how much of the reserved could be got back by preemption.
  void setReclaimable(WorkerIndex vm, const Resources &amount);

  const Resources &capacity(WorkerIndex vm) const { return Vms[vm].Capacity; }
  const Resources &reserved(WorkerIndex vm) const { return Vms[vm].Reserved; }
  const Resources &reclaimable(WorkerIndex vm) const {
    return Vms[vm].Reclaimable;
  }
  Resources free(WorkerIndex vm) const {
    return Vms[vm].Capacity - Vms[vm].Reserved;
  }
  WorkerIndex size() const { return static_cast<WorkerIndex>(Vms.size()); }

  /// Sums over all VMs.
  const Resources &totalCapacity() const { return TotalCapacity; }
  const Resources &totalReserved() const { return TotalReserved; }

  /// The first schedulable VM at or after `from` with the amount free.
  WorkerIndex findFree(WorkerIndex from, const Resources &amount) const {
    return FreeCapacity.findFrom(from, amount);
  }

  /// The first schedulable VM at or after `from` that could have the amount
  /// free after preemption.
  WorkerIndex findReclaimable(WorkerIndex from, const Resources &amount) const {
    return ReclaimableCapacity.findFrom(from, amount);
  }

  /// Compares the account with what the holders know. Throws `AccountError`
  /// if any VM differs.
  void verify(std::span<const Holding> holdings) const;

private:
  struct Vm {
    Resources Capacity;
    Resources Reserved;
    Resources Reclaimable;
    bool Schedulable = false;
  };
  void updateIndexes(WorkerIndex vm);

  std::vector<Vm> Vms;
  FreeCapacityIndex FreeCapacity;
  FreeCapacityIndex ReclaimableCapacity;
  Resources TotalCapacity;
  Resources TotalReserved;
};

} // namespace masticwinch::placement
