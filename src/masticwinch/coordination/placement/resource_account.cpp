#include "masticwinch/coordination/placement/resource_account.hpp"

#include <string>

namespace masticwinch::placement {

void ResourceAccount::setCapacity(WorkerIndex vm, const Resources &capacity) {
  if (vm >= Vms.size()) {
    Vms.resize(vm + 1);
  }
  if (!capacity.nonNegative() || !Vms[vm].Reserved.fitsIn(capacity)) {
    throw AccountError("capacity below what is reserved on VM " +
                       std::to_string(vm));
  }
  TotalCapacity += capacity - Vms[vm].Capacity;
  Vms[vm].Capacity = capacity;
  publish(vm);
}

bool ResourceAccount::tryReserve(WorkerIndex vm, const Resources &amount) {
  if (!amount.nonNegative()) {
    throw AccountError("a negative amount was to be reserved");
  }
  if (!amount.fitsIn(free(vm))) {
    return false;
  }
  Vms[vm].Reserved += amount;
  TotalReserved += amount;
  publish(vm);
  return true;
}

void ResourceAccount::release(WorkerIndex vm, const Resources &amount) {
  if (!amount.nonNegative() || !amount.fitsIn(Vms[vm].Reserved)) {
    throw AccountError("more was released than is reserved on VM " +
                       std::to_string(vm));
  }
  Vms[vm].Reserved -= amount;
  TotalReserved -= amount;
  publish(vm);
}

void ResourceAccount::setOffered(WorkerIndex vm, bool offered) {
  if (Vms[vm].Offered != offered) {
    Vms[vm].Offered = offered;
    publish(vm);
  }
}

void ResourceAccount::setReclaimable(WorkerIndex vm, const Resources &amount) {
  Vms[vm].Reclaimable = amount;
  publish(vm);
}

void ResourceAccount::publish(WorkerIndex vm) {
  const Resources available = free(vm);
  if (!Vms[vm].Offered) {
    Free.set(vm, NoOffer);
    Reclaim.set(vm, NoOffer);
    return;
  }
  Free.set(vm, available);
  Reclaim.set(vm, available + Vms[vm].Reclaimable);
}

void ResourceAccount::verify(std::span<const Holding> holdings) const {
  std::vector<Resources> sums(Vms.size());
  for (const Holding &it : holdings) {
    sums.at(it.Vm) += it.Amount;
  }
  for (WorkerIndex vm = 0; vm < Vms.size(); ++vm) {
    const bool equal = sums[vm] == Vms[vm].Reserved;
    if (!equal || !Vms[vm].Reserved.fitsIn(Vms[vm].Capacity)) {
      throw AccountError("account and holders differ on VM " +
                         std::to_string(vm));
    }
  }
}

} // namespace masticwinch::placement
