#pragma once

#include "masticwinch/coordination/placement/free_capacity_index.hpp"
#include "masticwinch/coordination/placement/placement_types.hpp"
#include "masticwinch/coordination/placement/resources.hpp"

#include <span>
#include <stdexcept>
#include <vector>

namespace masticwinch::placement {

/// A change that would make the account inconsistent; always a programming
/// error.
class AccountError : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

/// Resources that an attempt holds on a VM, as known outside the account.
struct Holding {
  WorkerIndex Vm = NoIndex;
  Resources Amount;
};

/// Reserved resources of every VM. No other code changes a reservation, and
/// every change is checked against the capacity first.
class ResourceAccount {
public:
  /// Adds a VM or changes its capacity. Throws `AccountError` if more than the
  /// new capacity is reserved.
  void setCapacity(WorkerIndex vm, const Resources &capacity);

  /// Reserves the amount. Returns false and changes nothing if it does not fit.
  [[nodiscard]] bool tryReserve(WorkerIndex vm, const Resources &amount);

  /// Releases a reserved amount. Throws `AccountError` if less is reserved.
  void release(WorkerIndex vm, const Resources &amount);

  /// Sets whether searches find the VM; reservations are possible either way.
  void setSchedulable(WorkerIndex vm, bool schedulable);

  /// Sets how much of the reserved amount preemption could free.
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

  /// Checks the account against all holdings. Throws `AccountError` if any VM
  /// differs.
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
