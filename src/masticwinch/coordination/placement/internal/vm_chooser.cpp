#include "masticwinch/coordination/placement/internal/vm_chooser.hpp"

namespace masticwinch::placement::internal {

namespace {

/// Limit on the VMs with room that one search examines, including those in
/// racks at the job's limit.
constexpr std::uint32_t MaxVisits = 512;

std::uint32_t
countOf(const std::unordered_map<std::uint32_t, std::uint32_t> &counts,
        std::uint32_t key) {
  const auto it = counts.find(key);
  return it == counts.end() ? 0 : it->second;
}

} // namespace

WorkerIndex VmChooser::choose(JobIndex index, const Resources &amount) {
  const Job &job = State.Jobs[index];
  const WorkerIndex reserved = chooseReserved(index, amount);
  if (reserved != NoIndex) {
    return reserved;
  }
  const WorkerIndex open =
      withPolicy(job.Terms.Policy, [&](const auto &policy) {
        return chooseBy(policy, job, amount);
      });
  return open != NoIndex ? open : chooseBackfill(index, amount);
}

bool VmChooser::rackFull(const Job &job, WorkerIndex vm) const {
  return job.Terms.RackLimit > 0 &&
         countOf(job.Domains->Racks, State.Workers[vm].Rack) >=
             job.Terms.RackLimit;
}

Candidate VmChooser::candidate(const Job &job, WorkerIndex vm,
                               const Resources &amount) const {
  Candidate it{vm, State.Account.capacity(vm), State.Account.free(vm), amount};
  if (job.Domains) {
    const Worker &worker = State.Workers[vm];
    it.SameRack = countOf(job.Domains->Racks, worker.Rack);
    it.SameDataCenter = countOf(job.Domains->DataCenters, worker.DataCenter);
  }
  return it;
}

template <PlacementPolicy Policy>
WorkerIndex VmChooser::chooseBy(const Policy &policy, const Job &job,
                                const Resources &amount) {
  const WorkerIndex count = State.Account.size();
  if (count == 0) {
    return NoIndex;
  }
  const auto start = static_cast<WorkerIndex>(
      Policy::RandomStart ? State.Random() % count : 0);
  WorkerIndex best = NoIndex;
  WorkerIndex fallback = NoIndex;
  std::int64_t bestScore = 0;
  std::uint32_t samples = 0;
  WorkerIndex from = start;
  bool wrapped = start == 0;
  for (std::uint32_t visit = 0; visit < MaxVisits; ++visit) {
    const WorkerIndex vm = State.Account.findFree(from, amount);
    const bool pastStart = wrapped && start != 0 && vm >= start;
    if (vm == NoIndex && !wrapped) {
      wrapped = true;
      from = 0;
      continue;
    }
    if (vm == NoIndex || pastStart) {
      break;
    }
    from = vm + 1;
    if (rackFull(job, vm)) {
      continue;
    }
    if (job.Failures.FailedOn.contains(vm)) {
      fallback = vm;
      continue;
    }
    const std::int64_t score = policy.score(candidate(job, vm, amount));
    if (best == NoIndex || score < bestScore) {
      best = vm;
      bestScore = score;
    }
    if (++samples >= Policy::Samples) {
      break;
    }
  }
  return best != NoIndex ? best : fallback;
}

WorkerIndex VmChooser::chooseReserved(JobIndex job,
                                      const Resources &amount) const {
  const auto it = State.Reservations.find(job);
  if (it == State.Reservations.end()) {
    return NoIndex;
  }
  for (const WorkerIndex vm : it->second.Vms) {
    const Worker &worker = State.Workers[vm];
    const bool usable = worker.Lease.hasReading() && !worker.Unresponsive &&
                        !worker.Draining &&
                        worker.Failures.EjectedUntil <= State.Now;
    if (usable && amount.fitsIn(State.Account.free(vm)) &&
        !rackFull(State.Jobs[job], vm)) {
      return vm;
    }
  }
  return NoIndex;
}

WorkerIndex VmChooser::chooseBackfill(JobIndex index,
                                      const Resources &amount) const {
  constexpr std::uint32_t MaxReservedVisits = 128;
  const Job &job = State.Jobs[index];
  const Milliseconds runTime = State.runTimeFor(job);
  if (!mayPreempt(job.Terms) || runTime.count() <= 0) {
    return NoIndex;
  }
  std::uint32_t visits = 0;
  for (const auto &[owner, reservation] : State.Reservations) {
    if (State.Now + runTime > reservation.StartsAt) {
      continue;
    }
    for (const WorkerIndex vm : reservation.Vms) {
      const Worker &worker = State.Workers[vm];
      const bool usable = worker.Lease.hasReading() && !worker.Unresponsive &&
                          !worker.Draining && !rackFull(job, vm);
      if (usable && amount.fitsIn(State.Account.free(vm))) {
        return vm;
      }
      if (++visits >= MaxReservedVisits) {
        return NoIndex;
      }
    }
  }
  return NoIndex;
}

} // namespace masticwinch::placement::internal
