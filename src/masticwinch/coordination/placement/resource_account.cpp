#include "masticwinch/coordination/placement/resource_account.hpp"

#include <string>

namespace masticwinch::placement {

void ResourceAccount::setCapacity(WorkerIndex vm, const Resources &capacity) {
  if (vm >= Vms.size()) {
    Vms.resize(vm + 1);
  }
  if (!capacity.nonNegative() || !Vms[vm].Reserved.fitsIn(capacity)) {
    throw AccountError("capacity is below the reserved amount on VM " +
                       std::to_string(vm));
  }
  TotalCapacity += capacity - Vms[vm].Capacity;
  Vms[vm].Capacity = capacity;
  updateIndexes(vm);
}

bool ResourceAccount::tryReserve(WorkerIndex vm, const Resources &amount) {
  if (!amount.nonNegative()) {
    throw AccountError("cannot reserve a negative amount");
  }
  if (!amount.fitsIn(free(vm))) {
    return false;
  }
  Vms[vm].Reserved += amount;
  TotalReserved += amount;
  updateIndexes(vm);
  return true;
}

void ResourceAccount::release(WorkerIndex vm, const Resources &amount) {
  if (!amount.nonNegative() || !amount.fitsIn(Vms[vm].Reserved)) {
    throw AccountError("released more than is reserved on VM " +
                       std::to_string(vm));
  }
  Vms[vm].Reserved -= amount;
  TotalReserved -= amount;
  updateIndexes(vm);
}

void ResourceAccount::setSchedulable(WorkerIndex vm, bool schedulable) {
  if (Vms[vm].Schedulable != schedulable) {
    Vms[vm].Schedulable = schedulable;
    updateIndexes(vm);
  }
}

void ResourceAccount::setReclaimable(WorkerIndex vm, const Resources &amount) {
  Vms[vm].Reclaimable = amount;
  updateIndexes(vm);
}

void ResourceAccount::updateIndexes(WorkerIndex vm) {
  const Resources available = free(vm);
  if (!Vms[vm].Schedulable) {
    FreeCapacity.set(vm, NoCapacity);
    ReclaimableCapacity.set(vm, NoCapacity);
    return;
  }
  FreeCapacity.set(vm, available);
  ReclaimableCapacity.set(vm, available + Vms[vm].Reclaimable);
}

void ResourceAccount::verify(std::span<const Holding> holdings) const {
  std::vector<Resources> sums(Vms.size());
  for (const Holding &it : holdings) {
    sums.at(it.Vm) += it.Amount;
  }
  for (WorkerIndex vm = 0; vm < Vms.size(); ++vm) {
    const bool equal = sums[vm] == Vms[vm].Reserved;
    if (!equal || !Vms[vm].Reserved.fitsIn(Vms[vm].Capacity)) {
      throw AccountError("account and holdings differ on VM " +
                         std::to_string(vm));
    }
  }
}

} // namespace masticwinch::placement
