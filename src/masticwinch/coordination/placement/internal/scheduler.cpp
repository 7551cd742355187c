#include "masticwinch/coordination/placement/internal/scheduler.hpp"

#include <algorithm>
#include <functional>
#include <queue>

namespace masticwinch::placement::internal {

namespace {

/// Tasks that a job may start before the next team's turn.
constexpr std::uint32_t TasksPerTurn = 4;

/// Number of VMs sampled when choosing where to preempt.
constexpr std::uint32_t PreemptionSamples = 8;

} // namespace

void Scheduler::run() {
  Started = 0;
  OverQuota.clear();
  if (State.isFirstComeFirstServed()) {
    runFirstComeFirstServed();
  } else {
    runFairShare(Tier::Urgent);
    runFairShare(Tier::Patient);
  }
  State.Dirty = Started >= State.Settings.StartsPerStep;
}

void Scheduler::runFirstComeFirstServed() {
  while (Started < State.Settings.StartsPerStep) {
    const auto &teams = State.Queue.teams(Tier::Urgent);
    if (teams.empty()) {
      return;
    }
    const JobIndex job = teams.begin()->second.begin()->second.begin()->Job;
    const PlaceResult result = place(job);
    if (result != PlaceResult::Placed) {
      recordWaitReason(job, result);
      return;
    }
  }
}

void Scheduler::runFairShare(Tier tier) {
  using Turn = std::pair<std::int64_t, TeamIndex>;
  std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
  const auto shareOf = [&](TeamIndex team) {
    return State.Teams.weightedShare(team, State.Account.totalCapacity());
  };
  for (const auto &[team, classes] : State.Queue.teams(tier)) {
    turns.emplace(shareOf(team), team);
  }
  while (!turns.empty() && Started < State.Settings.StartsPerStep) {
    const TeamIndex team = turns.top().second;
    turns.pop();
    if (serveTeam(tier, team)) {
      turns.emplace(shareOf(team), team);
    }
  }
}

bool Scheduler::serveTeam(Tier tier, TeamIndex team) {
  const JobIndex job = firstJob(tier, team);
  if (job == NoIndex) {
    return false;
  }
  const RequestClass requestClass = State.Jobs[job].Slot.Class;
  const PlaceResult result = place(job);
  if (result == PlaceResult::NoRoom) {
    NoRoomIn.resize(std::max<std::size_t>(NoRoomIn.size(), requestClass + 1));
    NoRoomIn[requestClass] = State.Generation;
  } else if (result == PlaceResult::OverQuota) {
    OverQuota.emplace(team, requestClass);
  }
  recordWaitReason(job, result);
  return true;
}

bool Scheduler::blocked(TeamIndex team, RequestClass requestClass) const {
  const bool noRoom = requestClass < NoRoomIn.size() &&
                      NoRoomIn[requestClass] == State.Generation;
  return noRoom || OverQuota.contains({team, requestClass});
}

JobIndex Scheduler::firstJob(Tier tier, TeamIndex team) const {
  const auto &teams = State.Queue.teams(tier);
  const auto classes = teams.find(team);
  QueuePosition best;
  if (classes == teams.end()) {
    return NoIndex;
  }
  for (const auto &[requestClass, jobs] : classes->second) {
    if (blocked(team, requestClass)) {
      continue;
    }
    const QueuePosition &head = *jobs.begin();
    if (best.Job == NoIndex || head < best) {
      best = head;
    }
  }
  return best.Job;
}

void Scheduler::recordWaitReason(JobIndex index, PlaceResult result) {
  Job &job = State.Jobs[index];
  if (result == PlaceResult::OverQuota) {
    job.Reason = WaitReason::TeamQuota;
  } else if (result == PlaceResult::NoRoom) {
    const bool reserved = State.Reservations.contains(index);
    job.Reason = State.Workers.empty() ? WaitReason::NoWorkers
                 : reserved            ? WaitReason::Reservation
                                       : WaitReason::Capacity;
  }
}

Scheduler::PlaceResult Scheduler::place(JobIndex job) {
  return State.Jobs[job].Terms.Kind == JobKind::Gang ? placeGang(job)
                                                     : placeTasks(job);
}

bool Scheduler::popWaiting(Job &job, std::uint32_t &task) {
  while (!job.Waiting.empty()) {
    task = job.Waiting.back();
    job.Waiting.pop_back();
    if (job.Tasks[task] == TaskState::Waiting) {
      return true;
    }
  }
  return false;
}

Scheduler::PlaceResult Scheduler::placeTasks(JobIndex index) {
  const Resources amount = State.amountFor(State.Jobs[index]);
  PlaceResult result = PlaceResult::Placed;
  std::uint32_t task = 0;
  for (std::uint32_t it = 0; it < TasksPerTurn; ++it) {
    if (!popWaiting(State.Jobs[index], task)) {
      break;
    }
    if (!State.Teams.hasQuotaFor(State.Jobs[index].Team, amount)) {
      result = PlaceResult::OverQuota;
    }
    const WorkerIndex vm =
        result == PlaceResult::Placed ? Chooser.choose(index, amount) : NoIndex;
    if (vm == NoIndex) {
      State.Jobs[index].Waiting.push_back(task);
      result = result == PlaceResult::Placed ? PlaceResult::NoRoom : result;
      break;
    }
    start(index, task, vm, amount);
  }
  if (result == PlaceResult::NoRoom) {
    preemptForTasks(index, amount);
  } else if (State.Jobs[index].Waiting.empty()) {
    State.dropReservation(index);
  }
  State.refreshQueue(index);
  return result;
}

Scheduler::PlaceResult Scheduler::placeGang(JobIndex index) {
  Job &job = State.Jobs[index];
  job.Restarting = false;
  std::erase_if(job.Waiting, [&](std::uint32_t task) {
    return job.Tasks[task] != TaskState::Waiting;
  });
  const Resources amount = State.amountFor(job);
  const std::size_t tasks = job.Waiting.size();
  if (!State.Teams.hasQuotaFor(job.Team,
                               amount * static_cast<std::int64_t>(tasks))) {
    return PlaceResult::OverQuota;
  }
  const std::vector<WorkerIndex> vms =
      Gangs.findVmsForAll(index, amount, tasks);
  if (vms.size() < tasks) {
    if (reserves(job)) {
      Gangs.reserve(index, amount, tasks);
    }
    return PlaceResult::NoRoom;
  }
  const std::vector<std::uint32_t> waiting = std::move(job.Waiting);
  job.Waiting.clear();
  for (std::size_t it = 0; it < waiting.size(); ++it) {
    start(index, waiting[it], vms[it], amount);
  }
  State.dropReservation(index);
  State.refreshQueue(index);
  return PlaceResult::Placed;
}

void Scheduler::start(JobIndex index, std::uint32_t task, WorkerIndex vm,
                      const Resources &amount) {
  constexpr std::uint32_t EpochShift = 32;
  const std::uint64_t number =
      (State.Epoch << EpochShift) | ++State.LastAttempt;
  const TaskIndex attempt = State.openAttempt(index, task, vm, amount, number);
  if (attempt == NoIndex) {
    throw AccountError("the chosen VM lacks free capacity");
  }
  const JobIndex reservedFor = State.Workers[vm].ReservedFor;
  State.Attempts[attempt].Backfilled =
      reservedFor != NoIndex && reservedFor != index;
  State.notice(PlacementEvent::TaskPlaced, index, task, number, vm);
  ++Started;
  if (State.Jobs[index].Terms.Repeatable) {
    State.orderStart(attempt);
    return;
  }
  State.Attempts[attempt].State = AttemptState::Recording;
  State.Records.push_back(
      {{State.Jobs[index].Terms.Id, task, TaskState::Active},
       false,
       vm,
       number});
}

bool Scheduler::preempts(const Job &job) const {
  const bool allowed = withPolicy(job.Terms.Policy, [](const auto &policy) {
    return std::decay_t<decltype(policy)>::Preempts;
  });
  return allowed && job.Terms.InTier == Tier::Urgent;
}

bool Scheduler::reserves(const Job &job) const {
  return withPolicy(job.Terms.Policy, [](const auto &policy) {
    return std::decay_t<decltype(policy)>::Reserves;
  });
}

WorkerIndex Scheduler::cheapestToPreempt(const Resources &amount) {
  WorkerIndex best = NoIndex;
  std::int64_t bestCost = 0;
  for (std::uint32_t it = 0; it < PreemptionSamples; ++it) {
    const auto from =
        static_cast<WorkerIndex>(State.Random() % State.Account.size());
    WorkerIndex vm = State.Account.findReclaimable(from, amount);
    vm = vm == NoIndex ? State.Account.findReclaimable(0, amount) : vm;
    if (vm == NoIndex) {
      return NoIndex;
    }
    const std::int64_t cost = preemptionCost(State, vm, amount);
    if (best == NoIndex || cost < bestCost) {
      best = vm;
      bestCost = cost;
    }
  }
  return best;
}

void Scheduler::preemptForTasks(JobIndex index, const Resources &amount) {
  const Job &job = State.Jobs[index];
  if (!preempts(job)) {
    return;
  }
  const auto reserved = State.Reservations.find(index);
  const std::size_t have =
      reserved == State.Reservations.end() ? 0 : reserved->second.Vms.size();
  const std::size_t want =
      std::min<std::size_t>(job.Waiting.size(), State.Settings.StartsPerStep);
  for (std::size_t it = have; it < want; ++it) {
    const WorkerIndex vm = cheapestToPreempt(amount);
    if (vm == NoIndex) {
      return;
    }
    State.reserveVm(index, vm);
    Reservation &reservation = State.Reservations[index];
    reservation.StartsAt = State.Now + State.Settings.StopGrace;
    preemptOn(State, vm, amount);
  }
}

} // namespace masticwinch::placement::internal
