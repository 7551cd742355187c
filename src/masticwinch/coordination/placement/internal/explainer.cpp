#include "masticwinch/coordination/placement/internal/explainer.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace masticwinch::placement::internal {

namespace {

std::string amountText(const Resources &amount) {
  return fmt::format("{} milli-processors, {} MiB, {} accelerators",
                     amount.MilliProcessors, amount.MemoryMib,
                     amount.Accelerators);
}

Milliseconds remaining(SteadyTime until, SteadyTime now) {
  return std::max(Milliseconds(0),
                  std::chrono::duration_cast<Milliseconds>(until - now));
}

/// The current reason, also for jobs that no scheduling round has examined yet.
WaitReason currentReason(const PlacerState &state, const Job &job) {
  const bool gang = job.Terms.Kind == JobKind::Gang;
  const Resources together =
      job.Terms.PerTask * (gang ? std::int64_t{job.Terms.Tasks} : 1);
  if (job.Infeasible || job.Withheld) {
    return job.Reason;
  }
  if (job.Failures.HeldUntil > state.Now) {
    return WaitReason::BackOff;
  }
  if (job.Waiting.empty()) {
    return WaitReason::None;
  }
  if (state.Workers.empty()) {
    return WaitReason::NoWorkers;
  }
  if (!together.fitsIn(state.Account.totalCapacity())) {
    return WaitReason::LargerThanCell;
  }
  return job.Reason == WaitReason::None ? WaitReason::Capacity : job.Reason;
}

std::string reasonText(const PlacerState &state, const Job &job,
                       const Explanation &it) {
  switch (it.Reason) {
  case WaitReason::None:
    return "nothing waits";
  case WaitReason::Capacity:
    return fmt::format("no VM has {} free now", amountText(it.PerTask));
  case WaitReason::TeamQuota:
    return fmt::format("team {} uses {} and its quota has no room for more",
                       job.Terms.Team, amountText(state.Teams.used(job.Team)));
  case WaitReason::Reservation:
    return fmt::format("VMs are kept for it; it should start in {} ms",
                       it.Until.count());
  case WaitReason::BackOff:
    return fmt::format("its tasks failed on several VMs; tried again in {} ms",
                       it.Until.count());
  case WaitReason::LeaderChange:
    return fmt::format("the leader changed; earlier leases end in {} ms",
                       it.Until.count());
  case WaitReason::LargerThanAnyVm:
    return fmt::format("a task needs {}, the largest VM has {}",
                       amountText(job.Terms.PerTask),
                       amountText(state.LargestVm));
  case WaitReason::LargerThanCell:
    return fmt::format("all VMs together have {}",
                       amountText(state.Account.totalCapacity()));
  case WaitReason::LargerThanQuota:
    return fmt::format("it is larger than the whole quota of team {}",
                       job.Terms.Team);
  case WaitReason::NoWorkers:
    return "no worker has announced itself";
  }
  return "";
}

Milliseconds reasonEnds(const PlacerState &state, JobIndex index,
                        WaitReason reason) {
  if (reason == WaitReason::BackOff) {
    return remaining(state.Jobs[index].Failures.HeldUntil, state.Now);
  }
  if (reason == WaitReason::LeaderChange) {
    return remaining(state.WithheldUntil, state.Now);
  }
  const auto reserved = state.Reservations.find(index);
  return reserved == state.Reservations.end()
             ? Milliseconds(0)
             : remaining(reserved->second.StartsAt, state.Now);
}

} // namespace

std::optional<Explanation> explainJob(const PlacerState &state,
                                      std::string_view id) {
  const JobIndex index = state.findJob(id);
  if (index == NoIndex) {
    return std::nullopt;
  }
  const Job &job = state.Jobs[index];
  Explanation it;
  it.Job = job.Terms.Id;
  it.Active = static_cast<std::uint32_t>(job.Attempts.size());
  it.Running = job.Running;
  it.Finished = job.Finished;
  it.Failed = job.Failed;
  it.Unknown = job.Unknown;
  it.Waiting =
      static_cast<std::uint32_t>(job.Tasks.size()) - job.EndedTasks - it.Active;
  it.Cancelled = job.Terms.Cancelled;
  it.PerTask = state.amountFor(job);
  it.Reason = currentReason(state, job);
  it.Until = reasonEnds(state, index, it.Reason);
  it.Text = reasonText(state, job, it);
  return it;
}

WorkerSummary summarizeWorker(const PlacerState &state, WorkerIndex vm) {
  const Worker &worker = state.Workers[vm];
  WorkerSummary it;
  it.Name = worker.Description.Name;
  it.Capacity = state.Account.capacity(vm);
  it.Reserved = state.Account.reserved(vm);
  it.Attempts = static_cast<std::uint32_t>(worker.Attempts.size());
  it.Responsive = worker.Lease.hasReading() && !worker.Unresponsive;
  it.Draining = worker.Draining;
  it.Ejected = worker.Failures.EjectedUntil > state.Now;
  return it;
}

std::vector<WorkerSummary> summarizeWorkers(const PlacerState &state) {
  std::vector<WorkerSummary> all;
  for (WorkerIndex vm = 0; vm < state.Workers.size(); ++vm) {
    all.push_back(summarizeWorker(state, vm));
  }
  return all;
}

} // namespace masticwinch::placement::internal
