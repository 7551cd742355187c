#include "masticwinch/coordination/placement/internal/placer_state.hpp"

#include <algorithm>

namespace masticwinch::placement::internal {

bool mayPreempt(const JobTerms &terms) {
  return terms.Preemptible && terms.InTier == Tier::Patient &&
         terms.Kind == JobKind::Batch && (terms.Repeatable || terms.Checkpoint);
}

bool isEnd(TaskState state) {
  return state != TaskState::Waiting && state != TaskState::Active;
}

PlacerState::PlacerState(const PlacerSettings &settings)
    : Settings(settings), Failures(settings.Failures), Random(settings.Seed) {}

JobIndex PlacerState::findJob(std::string_view id) const {
  const auto it = JobsById.find(std::string(id));
  return it == JobsById.end() ? NoIndex : it->second;
}

WorkerIndex PlacerState::findWorker(std::string_view name) const {
  const auto it = WorkersByName.find(std::string(name));
  return it == WorkersByName.end() ? NoIndex : it->second;
}

std::uint32_t PlacerState::nameIndex(const std::string &name) {
  return Names.try_emplace(name, static_cast<std::uint32_t>(Names.size()))
      .first->second;
}

WorkerIndex PlacerState::addWorker(const WorkerDescription &description) {
  const auto vm = static_cast<WorkerIndex>(Workers.size());
  Worker worker;
  worker.Description = description;
  worker.Rack = nameIndex("rack " + description.Rack);
  worker.DataCenter = nameIndex("data center " + description.DataCenter);
  worker.NextCall = SteadyTime::max();
  worker.AnnouncedCapacity = description.Capacity;
  Workers.push_back(std::move(worker));
  callAt(vm, Now);
  WorkersByName.emplace(description.Name, vm);
  Account.setCapacity(vm, description.Capacity);
  const Resources largest = maxOf(LargestVm, description.Capacity);
  if (largest != LargestVm) {
    LargestVm = largest;
    checkAllFeasibility();
  }
  return vm;
}

RequestClass PlacerState::classOf(const JobTerms &terms, JobIndex job) {
  const bool ownClass = terms.RackLimit > 0;
  const std::uint32_t together = terms.Kind == JobKind::Gang ? terms.Tasks : 1;
  const RequestKey key{terms.Profile,    terms.PerTask,
                       terms.Policy,     terms.InTier,
                       together,         ownClass ? job : NoIndex,
                       terms.Preemptible};
  return Classes.try_emplace(key, static_cast<RequestClass>(Classes.size()))
      .first->second;
}

JobIndex PlacerState::addJob(JobTerms terms, const JobHistory &history) {
  JobIndex index = static_cast<JobIndex>(Jobs.size());
  if (FreeJobs.empty()) {
    Jobs.emplace_back();
  } else {
    index = FreeJobs.back();
    FreeJobs.pop_back();
  }
  Jobs[index] = Job{};
  Job &job = Jobs[index];
  job.Terms = std::move(terms);
  job.Team = Teams.indexOf(job.Terms.Team);
  const auto [estimator, added] = EstimatorsByProfile.try_emplace(
      job.Terms.Profile, static_cast<std::uint32_t>(Estimators.size()));
  if (added) {
    Estimators.emplace_back();
  }
  job.Estimator = estimator->second;
  const std::int64_t bonus =
      job.Terms.Priority * Settings.AgeingPerPriority.count();
  job.Slot = {job.Terms.InTier,
              job.Team,
              classOf(job.Terms, index),
              {job.Terms.SubmittedUnixMs - bonus, index}};
  if (isFirstComeFirstServed()) {
    job.Slot.InTier = Tier::Urgent;
    job.Slot.Team = 0;
    job.Slot.Class = 0;
    job.Slot.Position.VirtualMs = job.Terms.SubmittedUnixMs;
  }
  if (job.Terms.Policy == PolicyName::Spread || job.Terms.RackLimit > 0) {
    job.Domains = std::make_unique<DomainCounts>();
  }
  JobsById[job.Terms.Id] = index;
  const std::size_t extra =
      job.Terms.Kind == JobKind::Service ? history.Replaced.size() : 0;
  job.Tasks.assign(job.Terms.Tasks + extra, TaskState::Active);
  const auto settle = [&](const std::vector<std::uint32_t> &tasks,
                          TaskState state) {
    for (const std::uint32_t it : tasks) {
      if (it < job.Tasks.size() && !isEnd(job.Tasks[it])) {
        job.Tasks[it] = state;
        countEnd(job, state);
      }
    }
  };
  settle(history.Finished, TaskState::Finished);
  settle(history.Failed, TaskState::Failed);
  settle(history.Unknown, TaskState::Unknown);
  settle(history.Replaced, TaskState::Replaced);
  for (std::size_t task = job.Tasks.size(); task-- > 0;) {
    if (job.Tasks[task] == TaskState::Active) {
      job.Tasks[task] = TaskState::Waiting;
      job.Waiting.push_back(static_cast<std::uint32_t>(task));
    }
  }
  job.MayHaveRun = history.Started;
  return index;
}

void PlacerState::countEnd(Job &job, TaskState state) {
  ++job.EndedTasks;
  job.Finished += state == TaskState::Finished ? 1 : 0;
  job.Failed += state == TaskState::Failed ? 1 : 0;
  job.Unknown += state == TaskState::Unknown ? 1 : 0;
}

void PlacerState::removeJob(JobIndex job) {
  dropReservation(job);
  WithheldJobs.erase(job);
  JobsById.erase(Jobs[job].Terms.Id);
  Jobs[job] = Job{};
  Jobs[job].Ended = true;
  FreeJobs.push_back(job);
}

void PlacerState::countDomain(Job &job, WorkerIndex vm, bool added) {
  if (!job.Domains) {
    return;
  }
  const std::uint32_t step = added ? 1U : ~0U;
  job.Domains->Racks[Workers[vm].Rack] += step;
  job.Domains->DataCenters[Workers[vm].DataCenter] += step;
}

void PlacerState::countReclaimable(Attempt &attempt, bool counted) {
  if (attempt.CountedReclaimable == counted) {
    return;
  }
  attempt.CountedReclaimable = counted;
  const Resources &old = Account.reclaimable(attempt.Vm);
  Account.setReclaimable(attempt.Vm,
                         counted ? old + attempt.Amount : old - attempt.Amount);
}

TaskIndex PlacerState::openAttempt(JobIndex job, std::uint32_t task,
                                   WorkerIndex vm, const Resources &amount,
                                   std::uint64_t number) {
  if (!Account.tryReserve(vm, amount)) {
    return NoIndex;
  }
  TaskIndex index = static_cast<TaskIndex>(Attempts.size());
  if (FreeAttempts.empty()) {
    Attempts.emplace_back();
  } else {
    index = FreeAttempts.back();
    FreeAttempts.pop_back();
  }
  Attempt &attempt = Attempts[index];
  attempt = Attempt{};
  attempt.Number = number;
  attempt.Job = job;
  attempt.Task = task;
  attempt.Vm = vm;
  attempt.Amount = amount;
  attempt.StartedAt = Now;
  attempt.IndexInVm = static_cast<std::uint32_t>(Workers[vm].Attempts.size());
  Workers[vm].Attempts.push_back(index);
  if (job != NoIndex) {
    Job &owner = Jobs[job];
    attempt.IndexInJob = static_cast<std::uint32_t>(owner.Attempts.size());
    owner.Attempts.push_back(index);
    owner.Tasks[task] = TaskState::Active;
    Teams.charge(owner.Team, amount);
    countDomain(owner, vm, true);
    countReclaimable(attempt, mayPreempt(owner.Terms));
  }
  if (Workers[vm].Failures.OnProbation) {
    updateSchedulable(vm);
  }
  return index;
}

void PlacerState::unlink(TaskIndex index) {
  const Attempt &attempt = Attempts[index];
  auto &vmAttempts = Workers[attempt.Vm].Attempts;
  vmAttempts[attempt.IndexInVm] = vmAttempts.back();
  Attempts[vmAttempts.back()].IndexInVm = attempt.IndexInVm;
  vmAttempts.pop_back();
  if (attempt.Job == NoIndex) {
    return;
  }
  auto &jobAttempts = Jobs[attempt.Job].Attempts;
  jobAttempts[attempt.IndexInJob] = jobAttempts.back();
  Attempts[jobAttempts.back()].IndexInJob = attempt.IndexInJob;
  jobAttempts.pop_back();
}

void PlacerState::closeAttempt(TaskIndex index, TaskState next) {
  Attempt &attempt = Attempts[index];
  Worker &worker = Workers[attempt.Vm];
  countReclaimable(attempt, false);
  unlink(index);
  const Attempt closed = attempt;
  attempt = Attempt{};
  FreeAttempts.push_back(index);
  Account.release(closed.Vm, closed.Amount);
  ++Generation;
  Dirty = true;
  if (worker.Failures.OnProbation) {
    updateSchedulable(closed.Vm);
  }
  if (closed.Job == NoIndex) {
    return;
  }
  Job &job = Jobs[closed.Job];
  Teams.refund(job.Team, closed.Amount);
  countDomain(job, closed.Vm, false);
  job.Running -= closed.CountedRunning ? 1 : 0;
  settleTask(closed.Job, closed.Task, next);
  refreshQueue(closed.Job);
}

void PlacerState::settleTask(JobIndex index, std::uint32_t task,
                             TaskState state) {
  Job &job = Jobs[index];
  if (isEnd(job.Tasks[task])) {
    return;
  }
  if (job.Terms.Cancelled && state == TaskState::Waiting) {
    state = TaskState::Cancelled;
  }
  job.Tasks[task] = state;
  if (state == TaskState::Waiting) {
    job.Waiting.push_back(task);
    refreshQueue(index);
    return;
  }
  countEnd(job, state);
  endJobIfDone(index);
}

void PlacerState::endJobIfDone(JobIndex index) {
  Job &job = Jobs[index];
  const bool all = job.EndedTasks == job.Tasks.size();
  if (job.Ended || !all || !job.Attempts.empty()) {
    return;
  }
  job.Ended = true;
  const bool rest = job.Terms.Repeatable && !job.Terms.Cancelled &&
                    job.Terms.Kind != JobKind::Service;
  for (PendingRecord &it : job.DeferredRecords) {
    it.Implied = rest;
  }
  releaseRecords(index);
  EndedJobs.push_back({job.Terms.Id, rest});
  notice(PlacementEvent::JobEnded, index);
  refreshQueue(index);
  dropReservation(index);
}

} // namespace masticwinch::placement::internal
