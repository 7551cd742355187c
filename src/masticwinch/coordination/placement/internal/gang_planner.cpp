#include "masticwinch/coordination/placement/internal/gang_planner.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace masticwinch::placement::internal {

namespace {

/// Number of VMs that a plan examines, which bounds planning time in large
/// cells.
constexpr std::uint32_t MaxPlannedVms = 2048;
constexpr std::size_t MaxUrgentReservations = 32;
constexpr std::size_t MaxPatientReservations = 1;

/// How many times the amount fits in the room.
std::int64_t timesFitting(const Resources &amount, const Resources &room) {
  std::int64_t times = std::numeric_limits<std::int32_t>::max();
  const auto limit = [&](std::int64_t each, std::int64_t all) {
    if (each > 0) {
      times = std::min(times, std::max<std::int64_t>(0, all) / each);
    }
  };
  limit(amount.MilliProcessors, room.MilliProcessors);
  limit(amount.MemoryMib, room.MemoryMib);
  limit(amount.Accelerators, room.Accelerators);
  return times;
}

} // namespace

namespace {

/// Tasks to stop on the VM so that the amount becomes free, cheapest first.
/// Sets `available` to what is free once they have stopped.
std::vector<TaskIndex> victimsOn(const PlacerState &state, WorkerIndex vm,
                                 const Resources &amount,
                                 Resources &available) {
  std::vector<TaskIndex> candidates;
  available = state.Account.free(vm);
  for (const TaskIndex it : state.Workers[vm].Attempts) {
    if (state.Attempts[it].State == AttemptState::Stopping) {
      available += state.Attempts[it].Amount;
    } else if (state.Attempts[it].CountedReclaimable) {
      candidates.push_back(it);
    }
  }
  // Tasks that can resume from a checkpoint first, then the smallest, then the
  // most recently started.
  const auto cost = [&](TaskIndex it) {
    const Attempt &attempt = state.Attempts[it];
    return std::tuple(!state.Jobs[attempt.Job].Terms.Checkpoint,
                      attempt.Amount.MilliProcessors,
                      state.Now - attempt.StartedAt);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](TaskIndex a, TaskIndex b) { return cost(a) < cost(b); });
  std::vector<TaskIndex> victims;
  for (const TaskIndex it : candidates) {
    if (amount.fitsIn(available)) {
      break;
    }
    available += state.Attempts[it].Amount;
    victims.push_back(it);
  }
  return victims;
}

} // namespace

std::int64_t preemptionCost(const PlacerState &state, WorkerIndex vm,
                            const Resources &amount) {
  Resources available;
  Resources stopped;
  for (const TaskIndex it : victimsOn(state, vm, amount, available)) {
    stopped += state.Attempts[it].Amount;
  }
  return dominantShare(stopped, state.Account.capacity(vm));
}

bool preemptOn(PlacerState &state, WorkerIndex vm, const Resources &amount) {
  Resources available;
  for (const TaskIndex it : victimsOn(state, vm, amount, available)) {
    state.orderStop(it, StopReason::Preempted);
  }
  return amount.fitsIn(available);
}

std::vector<WorkerIndex> GangPlanner::findVmsForAll(JobIndex job,
                                                    const Resources &amount,
                                                    std::size_t tasks) {
  VmChooser chooser(State);
  std::vector<WorkerIndex> vms;
  while (vms.size() < tasks) {
    const WorkerIndex vm = chooser.choose(job, amount);
    if (vm == NoIndex || !State.Account.tryReserve(vm, amount)) {
      break;
    }
    State.countDomain(State.Jobs[job], vm, true);
    vms.push_back(vm);
  }
  for (const WorkerIndex vm : vms) {
    State.Account.release(vm, amount);
    State.countDomain(State.Jobs[job], vm, false);
  }
  if (vms.size() < tasks) {
    vms.clear();
  }
  return vms;
}

bool GangPlanner::mayReserve(const Job &job) const {
  const Tier tier = job.Terms.InTier;
  const auto same = static_cast<std::size_t>(std::count_if(
      State.Reservations.begin(), State.Reservations.end(),
      [&](auto &it) { return State.Jobs[it.first].Terms.InTier == tier; }));
  const std::size_t limit =
      tier == Tier::Urgent ? MaxUrgentReservations : MaxPatientReservations;
  return same < limit;
}

void GangPlanner::reserve(JobIndex index, const Resources &amount,
                          std::size_t tasks) {
  const Job &job = State.Jobs[index];
  if (State.Reservations.contains(index) || !mayReserve(job)) {
    return;
  }
  std::vector<Opening> found = openings(job, amount, tasks);
  if (found.size() < tasks || found[tasks - 1].From == SteadyTime::max()) {
    return;
  }
  found.resize(tasks);
  Reservation &reservation = State.Reservations[index];
  reservation.MadeAt = State.Now;
  reservation.StartsAt = found.back().From;
  for (const Opening &it : found) {
    if (State.Workers[it.Vm].ReservedFor == NoIndex) {
      State.reserveVm(index, it.Vm);
    }
  }
  State.Jobs[index].Reason = WaitReason::Reservation;
  State.notice(PlacementEvent::GangReserved, index);
  if (job.Terms.InTier == Tier::Urgent) {
    preemptFor(amount, found);
  }
}

std::vector<GangPlanner::Opening> GangPlanner::openings(const Job &job,
                                                        const Resources &amount,
                                                        std::size_t tasks) {
  const WorkerIndex count = State.Account.size();
  const auto planned = static_cast<WorkerIndex>(std::min<std::size_t>(
      count, std::max<std::size_t>(MaxPlannedVms, 4 * tasks)));
  const bool whole = planned == count;
  const auto start =
      static_cast<WorkerIndex>(whole ? 0 : State.Random() % count);
  std::vector<Opening> found;
  for (WorkerIndex it = 0; it < planned; ++it) {
    const WorkerIndex vm = (start + it) % count;
    const Worker &worker = State.Workers[vm];
    const bool usable = worker.Lease.hasReading() && !worker.Unresponsive &&
                        !worker.Draining && worker.ReservedFor == NoIndex &&
                        worker.Failures.EjectedUntil <= State.Now;
    if (usable && amount.fitsIn(State.Account.capacity(vm))) {
      openingsOn(vm, amount, job.Terms.InTier == Tier::Urgent, found);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

void GangPlanner::openingsOn(WorkerIndex vm, const Resources &amount,
                             bool urgent, std::vector<Opening> &out) const {
  struct End {
    SteadyTime At;
    Resources Amount;
  };
  std::vector<End> ends;
  for (const TaskIndex it : State.Workers[vm].Attempts) {
    const Attempt &attempt = State.Attempts[it];
    const bool preempted = urgent && attempt.CountedReclaimable;
    const SteadyTime end = preempted ? State.Now + State.Settings.StopGrace
                                     : State.expectedEnd(attempt);
    if (end != SteadyTime::max()) {
      ends.push_back({end, attempt.Amount});
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const End &a, const End &b) { return a.At < b.At; });
  Resources room = State.Account.free(vm);
  std::int64_t fits = timesFitting(amount, room);
  for (std::int64_t it = 0; it < fits; ++it) {
    out.push_back({State.Now, vm});
  }
  for (const End &end : ends) {
    room += end.Amount;
    const std::int64_t more = timesFitting(amount, room);
    for (; fits < more; ++fits) {
      out.push_back({end.At, vm});
    }
  }
}

void GangPlanner::preemptFor(const Resources &amount,
                             const std::vector<Opening> &chosen) {
  std::map<WorkerIndex, std::int64_t> perVm;
  for (const Opening &it : chosen) {
    ++perVm[it.Vm];
  }
  for (const auto &[vm, tasks] : perVm) {
    preemptOn(State, vm, amount * tasks);
  }
}

bool GangPlanner::stopBackfilled(const Reservation &reservation) {
  bool any = false;
  for (const WorkerIndex vm : reservation.Vms) {
    const std::vector<TaskIndex> attempts = State.Workers[vm].Attempts;
    for (const TaskIndex it : attempts) {
      const Attempt &attempt = State.Attempts[it];
      if (attempt.Backfilled && attempt.State != AttemptState::Stopping) {
        State.orderStop(it, StopReason::Preempted);
        any = true;
      }
    }
  }
  return any;
}

void GangPlanner::reviewReservations() {
  std::vector<JobIndex> failed;
  for (auto &[job, reservation] : State.Reservations) {
    const SteadyTime late =
        reservation.StartsAt + State.Settings.BackfillOverrun;
    if (State.Now < late) {
      continue;
    }
    if (stopBackfilled(reservation)) {
      reservation.StartsAt = State.Now;
    } else {
      failed.push_back(job);
    }
  }
  for (const JobIndex it : failed) {
    State.dropReservation(it);
  }
}

} // namespace masticwinch::placement::internal
